//! Tests of requests: forwarding, rejection, leases, tickets, and load shedding.

use super::rig::*;
use postbarrow_constants::traffic::HEAD_BYTES;
use postbarrow_messages::{Request, Response};
use postbarrow_state::Settlement;
use std::sync::atomic::Ordering::Relaxed;

fn setup(script: Vec<Script>) -> (ScriptedTarget, Rig) {
    let scripted = ScriptedTarget::start("s-1", "s", script);
    let rig = Rig::new(vec![target("s-1", "s", scripted.address)], grant_all);
    (scripted, rig)
}

#[test]
fn path_query_repeated_headers_and_body_are_forwarded_unchanged() {
    let (scripted, rig) = setup(vec![Script::Complete("done")]);
    let reply = rig.raw(
        b"POST /post/a%2Fb//c;d?x=%20&x&y=%C3%BC HTTP/1.1\r\nHost: shop\r\nX-A: 1\r\nx-a: 2\r\nConnection: X-Hop\r\nX-Hop: 3\r\nTE: trailers\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n",
    );
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert_eq!(reply.to_ascii_lowercase().matches("x-t: ").count(), 2, "{reply}");
    let observed = scripted.observed.lock().unwrap().clone();
    let mut lines: Vec<String> = observed.heads[0].lines().map(str::to_ascii_lowercase).collect();
    lines.retain(|line| !line.is_empty());
    assert!(observed.heads[0].starts_with("POST /post/a%2Fb//c;d?x=%20&x&y=%C3%BC HTTP/1.1\r\n"));
    lines[1..].sort();
    assert_eq!(lines[1..], ["content-length: 5", "host: shop", "x-a: 1", "x-a: 2"]);
    assert_eq!(observed.bodies[0], b"abcde");
}

#[test]
fn rejected_requests_never_reach_a_target() {
    let (scripted, rig) = setup(vec![Script::Complete("x")]);
    let status = |reply: &str| reply.split(' ').nth(1).unwrap_or("none").to_string();
    assert_eq!(status(&rig.get("/nowhere")), "404");
    let valid_post = rig.post("", "").replace("POST", "GET");
    assert!(valid_post.starts_with("HTTP/1.1 200"));
    let wrong_method = rig.raw(b"DELETE /post/1 HTTP/1.1\r\nHost: h\r\n\r\n");
    assert!(
        wrong_method.starts_with("HTTP/1.1 405") && wrong_method.contains("Allow: POST"),
        "{wrong_method}"
    );
    let large_body = rig.post("", &"a".repeat(1_001));
    assert_eq!(status(&large_body), "413");
    assert!(large_body.contains("Postbarrow-Outcome: not-run"), "{large_body}");
    let chunks = rig
        .raw(b"POST /post/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n");
    assert_eq!(status(&chunks), "413");
    let conflicting = b"POST /post/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let conflicting = rig.raw(conflicting);
    assert!(
        status(&conflicting) == "400" && conflicting.contains("Connection: close"),
        "{conflicting}"
    );
    let two_lengths = rig.raw(
        b"POST /post/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    );
    assert_eq!(status(&two_lengths), "400");
    let truncated_body =
        rig.send_and_close(b"POST /post/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    assert_eq!(truncated_body, "", "a client that closes within its body gets no response");
    let long_head = format!("GET /look/1 HTTP/1.1\r\nHost: h\r\nX: {}", "a".repeat(HEAD_BYTES + 1));
    assert_eq!(status(&rig.raw(long_head.as_bytes())), "431");
    assert_eq!(status(&rig.post("Idempotency-Key: a b\r\n", "x")), "400");
    assert_eq!(scripted.runs(), 1, "only the valid request must reach the target");
}

#[test]
fn pipelined_requests_get_their_own_responses_in_order() {
    let (_target, rig) = setup(vec![Script::Complete("first"), Script::Complete("second")]);
    let reply = rig.send_until_responses(
        b"GET /look/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /look/2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        2,
    );
    let (first, second) = (reply.find("first"), reply.find("second"));
    assert!(first.is_some() && first < second, "{reply}");
    assert_eq!(reply.matches("HTTP/1.1 200").count(), 2);
}

#[test]
fn node_without_lease_sheds_and_is_unready() {
    let (scripted, rig) = setup(vec![Script::Complete("x")]);
    assert!(rig.get("/ready").starts_with("HTTP/1.1 200"));
    rig.shared.lease.set_until(0);
    assert!(rig.get("/ready").starts_with("HTTP/1.1 503"));
    let shed = rig.post("", "a");
    assert!(shed.starts_with("HTTP/1.1 503") && shed.contains("Retry-After: "), "{shed}");
    assert!(shed.contains("Postbarrow-Outcome: not-run"));
    let keyed = rig.post("Idempotency-Key: k\r\n", "a");
    assert!(
        keyed.contains("Postbarrow-Outcome: unknown"),
        "a request under the key may have run before: {keyed}"
    );
    assert_eq!(scripted.runs(), 0);
}

#[test]
fn unknown_process_at_a_targets_address_gets_no_request() {
    let unknown = ScriptedTarget::start("t-9", "t", vec![Script::Complete("x")]);
    let rig = Rig::new(vec![target("s-1", "s", unknown.address)], grant_all);
    let reply = rig.post("", "a");
    assert!(reply.starts_with("HTTP/1.1 503") && reply.contains("not-run"), "{reply}");
    assert!(rig.get("/look/1").starts_with("HTTP/1.1 50"));
    assert_eq!(unknown.runs(), 0);
    let requested = rig.requested.lock().unwrap();
    assert!(requested.is_empty(), "a ticket was requested for a target that is not identified");
}

#[test]
fn request_whose_ticket_request_times_out_is_unknown_and_never_forwarded() {
    let scripted = ScriptedTarget::start("s-1", "s", vec![Script::Complete("x")]);
    let rig = Rig::new(vec![target("s-1", "s", scripted.address)], |request| match request {
        Request::Ticket(_) => Response::TimedOut,
        other => grant_all(other),
    });
    let reply = rig.post("", "a");
    assert!(reply.starts_with("HTTP/1.1 504") && reply.contains("unknown"), "{reply}");
    assert_eq!(scripted.runs(), 0);
    assert_eq!(rig.settlements(), [Settlement::Unsent]);
}

#[test]
fn target_that_drains_during_its_ticket_request_gets_no_request() {
    let scripted = ScriptedTarget::start("s-1", "s", vec![Script::Complete("x")]);
    let (ticket_requested, on_ticket_requested) = std::sync::mpsc::channel::<()>();
    let (drained, on_drained) = std::sync::mpsc::channel::<()>();
    let rig = Rig::new(vec![target("s-1", "s", scripted.address)], move |request| {
        if matches!(request, Request::Ticket(_)) {
            ticket_requested.send(()).unwrap();
            on_drained.recv().unwrap();
        }
        grant_all(request)
    });
    let reply = std::thread::scope(|scope| {
        let client = scope.spawn(|| rig.post("Idempotency-Key: k\r\n", "a"));
        on_ticket_requested.recv().unwrap();
        let mut draining = target("s-1", "s", scripted.address);
        draining.draining = true;
        rig.publish(vec![draining]);
        drained.send(()).unwrap();
        client.join().unwrap()
    });
    assert_eq!(scripted.runs(), 0);
    assert_eq!(rig.settlements(), [Settlement::Unsent]);
    assert!(
        reply.contains("not-run"),
        "a ticket granted and settled unsent proves that nothing ran: {reply}"
    );
}

#[test]
fn half_sent_and_idle_connections_do_not_block_other_clients() {
    let (scripted, rig) = setup(vec![Script::Complete("x")]);
    let mut idle = Vec::new();
    for index in 0..300 {
        let mut stream = std::net::TcpStream::connect(rig.http).unwrap();
        if index % 2 == 0 {
            std::io::Write::write_all(&mut stream, b"POST /post/1 HTTP/1.1\r\nHo").unwrap();
        }
        idle.push(stream);
    }
    assert!(rig.get("/look/1").starts_with("HTTP/1.1 200"));
    assert!(rig.post("", "a").starts_with("HTTP/1.1 200"));
    assert_eq!((scripted.runs(), idle.len()), (2, 300));
}

#[test]
fn node_over_capacity_sheds_at_once_with_retry_after() {
    let (scripted, rig) = setup(vec![Script::Complete("x")]);
    rig.shared.admission.requests.store(postbarrow_constants::traffic::REQUESTS_IN_FLIGHT, Relaxed);
    let shed = rig.post("", "a");
    assert!(shed.starts_with("HTTP/1.1 503") && shed.contains("Retry-After: 1"), "{shed}");
    assert!(shed.contains("Postbarrow-Outcome: not-run"), "{shed}");
    rig.shared.admission.requests.store(0, Relaxed);
    while rig.shared.admission.connections.load(Relaxed) > 0 {
        std::thread::yield_now();
    }
    rig.shared
        .admission
        .connections
        .store(postbarrow_constants::traffic::DOWNSTREAM_CONNECTIONS_MAX, Relaxed);
    let mut stream = std::net::TcpStream::connect(rig.http).unwrap();
    let mut reply = String::new();
    let _ = std::io::Read::read_to_string(&mut stream, &mut reply);
    assert!(reply.starts_with("HTTP/1.1 503") && reply.contains("Retry-After: 1"), "{reply}");
    assert_eq!(scripted.runs(), 0);
}

#[test]
fn stopping_node_serves_one_more_request_on_a_kept_alive_connection_and_closes_it() {
    let (scripted, rig) = setup(vec![Script::Complete("x")]);
    let mut stream = std::net::TcpStream::connect(rig.http).unwrap();
    rig.shared.lifecycle.begin_stop();
    assert!(rig.get("/ready").starts_with("HTTP/1.1 503"), "a stopping node must be unready");
    std::io::Write::write_all(&mut stream, b"GET /look/1 HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
    let mut reply = String::new();
    std::io::Read::read_to_string(&mut stream, &mut reply).unwrap();
    assert!(reply.starts_with("HTTP/1.1 200") && reply.contains("Connection: close"), "{reply}");
    assert_eq!(scripted.runs(), 1);
}
