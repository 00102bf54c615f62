//! Tests of the endpoints that a node serves itself, at each of its addresses.

use super::rig::*;
use crate::phases::accept;
use crate::{Dialect, ListenerRole, NativeDialect, NodeEndpoint};
use postbarrow_downstream::head::{Head, parse};
use std::net::{SocketAddr, TcpListener};

const METHODS_WITHOUT_READINESS: [&str; 5] = ["POST", "PUT", "DELETE", "OPTIONS", "PATCH"];

/// Starts a node whose wildcard routes cover every path, with an address for readiness checks.
fn setup() -> (ScriptedTarget, Rig, SocketAddr) {
    let scripted = ScriptedTarget::start("s-1", "s", vec![Script::Complete("from the target")]);
    let rig = Rig::new(Vec::new(), grant_all);
    rig.publish_wildcard_routes(vec![target("s-1", "s", scripted.address)]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let readiness = listener.local_addr().unwrap();
    accept::listen(listener, ListenerRole::Readiness, rig.shared.clone()).unwrap();
    (scripted, rig, readiness)
}

fn head(method: &str, path: &str) -> Head {
    let text = format!("{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n");
    parse(text.as_bytes()).unwrap().unwrap().0
}

fn bytes(method: &str, path: &str, more: &str) -> Vec<u8> {
    format!("{method} {path} HTTP/1.1\r\nHost: h\r\n{more}\r\n").into_bytes()
}

/// Guards against a success for a request that the node neither ran nor forwarded: the readiness
/// check accepted every method.
#[test]
fn readiness_check_rejects_other_methods_as_not_run() {
    let (scripted, rig, readiness) = setup();
    for address in [rig.http, readiness] {
        for method in METHODS_WITHOUT_READINESS {
            let kept = [bytes("GET", "/ready", ""), bytes(method, "/ready", "")].concat();
            let replies = send_to(address, &kept, 2);
            assert!(replies.starts_with("HTTP/1.1 200"), "{method}: {replies}");
            assert_eq!(replies.matches("HTTP/1.1 405").count(), 1, "{method}: {replies}");
            assert!(replies.contains("Allow: GET, HEAD"), "{method}: {replies}");
            assert!(replies.contains("Postbarrow-Outcome: not-run"), "{method}: {replies}");
        }
        let keyed = send_to(address, &bytes("POST", "/ready", "Idempotency-Key: k\r\n"), 1);
        assert!(keyed.contains("Postbarrow-Outcome: unknown"), "{keyed}");
        let checked = send_to(address, &bytes("HEAD", "/ready", "Connection: close\r\n"), 1);
        assert!(checked.starts_with("HTTP/1.1 200") && checked.ends_with("\r\n\r\n"), "{checked}");
    }
    assert_eq!(scripted.runs(), 0);
}

/// Guards against requests that are forwarded, or executed by the controller, from an address that
/// is not the clients'.
#[test]
fn readiness_address_serves_the_readiness_check_only() {
    let (scripted, rig, readiness) = setup();
    for (method, path) in [("GET", "/look/1"), ("POST", "/post/1"), ("GET", "/coordination/keys/k")]
    {
        let reply = send_to(readiness, &bytes(method, path, ""), 1);
        assert!(reply.starts_with("HTTP/1.1 404"), "{method} {path}: {reply}");
        assert!(reply.contains("Postbarrow-Outcome: not-run"), "{method} {path}: {reply}");
    }
    assert!(rig.requested.lock().unwrap().is_empty());
    assert_eq!(scripted.runs(), 0);
    let forwarded = send_to(rig.http, &bytes("GET", "/look/1", "Connection: close\r\n"), 1);
    assert!(forwarded.ends_with("from the target"), "{forwarded}");
}

#[test]
fn native_dialect_serves_only_reserved_paths_itself() {
    for (path, at_clients, at_readiness) in [
        ("/ready", Some(NodeEndpoint::Ready), Some(NodeEndpoint::Ready)),
        ("/ready?verbose", Some(NodeEndpoint::Ready), Some(NodeEndpoint::Ready)),
        ("/coordination/keys/k", Some(NodeEndpoint::Coordination), None),
        ("/ready/", None, None),
        ("/readyz", None, None),
        ("/Ready", None, None),
        ("//ready", None, None),
        ("/coordination", None, None),
        ("/a/coordination/keys/k", None, None),
    ] {
        let endpoint = |listener| NativeDialect.node_endpoint(listener, &head("GET", path));
        assert_eq!(endpoint(ListenerRole::Clients), at_clients, "{path} for clients");
        assert_eq!(endpoint(ListenerRole::Readiness), at_readiness, "{path} for readiness");
    }
}
