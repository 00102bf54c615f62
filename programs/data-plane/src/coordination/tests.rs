//! Tests of `coordination`: the statuses and exact bodies of its responses, on which applications
//! depend.

use super::read_call::read_call;
use super::render::render_outcome;
use crate::json_response::{error, rejection};
use postbarrow_downstream::head::parse;
use postbarrow_node::TargetResponse;
use postbarrow_state::{Change, Event, Key, Outcome};

fn body(response: TargetResponse) -> String {
    String::from_utf8(response.body).unwrap()
}

fn rendered(outcome: Outcome) -> (u16, String) {
    let response = render_outcome(outcome);
    (response.status, body(response))
}

#[test]
fn each_outcome_is_rendered_with_the_fields_of_the_wire_format() {
    let key = || Key { value: b"v".to_vec(), revision: 8 };
    let cases = [
        (Outcome::Locked { fence: 3, ttl_ms: 5 }, 200, r#"{"held":true,"fence":3,"ttlMs":5}"#),
        (
            Outcome::LockedByOther { fence: 3 },
            409,
            r#"{"error":"another holder has the lock","held":true,"fence":3}"#,
        ),
        (Outcome::NoLock, 200, r#"{"held":false}"#),
        (Outcome::NotOwner, 409, r#"{"error":"not held by this holder"}"#),
        (Outcome::Number(7), 200, r#"{"number":7}"#),
        (Outcome::Key(key()), 200, r#"{"value":"v","revision":8}"#),
        (Outcome::NoKey, 404, r#"{"error":"no such key"}"#),
        (Outcome::TooOld { floor: 6 }, 410, r#"{"error":"the revision is too old","floor":6}"#),
    ];
    for (outcome, status, json) in cases {
        assert_eq!(rendered(outcome), (status, json.to_string()));
    }
}

#[test]
fn events_are_rendered_with_the_fields_of_their_kind() {
    let event = |revision, name: &str, change| Event { revision, name: name.into(), change };
    let key = Key { value: b"v".to_vec(), revision: 2 };
    let events = vec![
        event(1, "l", Change::Locked { fence: 2 }),
        event(2, "k", Change::Key(key)),
        event(3, "k", Change::KeyGone),
    ];
    let json = concat!(
        r#"{"events":[{"revision":1,"name":"l","change":"locked","fence":2},"#,
        r#"{"revision":2,"name":"k","change":"key","value":"v"},"#,
        r#"{"revision":3,"name":"k","change":"removed"}],"next":4}"#
    );
    assert_eq!(rendered(Outcome::Events { events, next: 4 }), (200, json.to_string()));
}

#[test]
fn errors_state_their_outcome_in_body_and_header() {
    let not_run = error(503, "r");
    assert!(not_run.headers.contains(&("Retry-After".into(), "1".into())));
    assert!(not_run.headers.contains(&("Postbarrow-Outcome".into(), "not-run".into())));
    assert_eq!(body(not_run), r#"{"error":"r","outcome":"not-run"}"#);
    assert_eq!(body(rejection(400, "unknown", "r")), r#"{"error":"r","outcome":"unknown"}"#);
}

#[test]
fn each_invalid_call_is_rejected_with_its_status_and_reason() {
    let rejected = |method: &str, path: &str, body: &[u8]| {
        let text = format!("{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        let head = parse(text.as_bytes()).unwrap().unwrap().0;
        let invalid = read_call(&head, body).unwrap_err();
        (invalid.status(), invalid.to_string())
    };
    const MISSING: &str = "$.holder (line 1): is missing\n$.ttlMs (line 1): is missing";
    let cases: [(&str, &str, &[u8], u16, &str); 9] = [
        ("GET", "/coordination/locks/l", b"\xff", 400, "the body is not UTF-8"),
        ("GET", "/coordination/keys/%zz", b"", 400, "a % escape is malformed"),
        ("GET", "/coordination/keys/%4", b"", 400, "a % escape is malformed"),
        ("GET", "/coordination/watch/keys?after=x", b"", 400, "after must be a whole number"),
        ("PATCH", "/coordination/keys/k", b"", 405, "another method"),
        ("GET", "/coordination/other/k", b"", 404, "locks, numbers, keys or watch"),
        ("GET", "/coordination/watch/other", b"", 404, "watch locks, numbers or keys"),
        ("GET", "/coordination/keys/k", b"[]", 400, "$ (line 1): must be an object"),
        ("POST", "/coordination/locks/l", b"{}", 400, MISSING),
    ];
    for (method, path, body, status, reason) in cases {
        assert_eq!(rejected(method, path, body), (status, reason.to_string()), "{method} {path}");
    }
}
