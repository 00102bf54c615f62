//! Departures of clients during ticket requests, one-time requests and coordination calls.

use super::*;
use crate::coordination::read_call::read_call;
use crate::coordination::serve;
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::head::parse;
use std::net::{TcpListener, TcpStream};

fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (far, _) = listener.accept().unwrap();
    (near, far)
}

#[test]
fn target_that_does_not_identify_itself_gets_no_request_of_a_departed_client() {
    for request in [LOOKUP, ONE_TIME_POST] {
        let (observed, observer) = observations();
        let one = ScriptedTarget::unidentified("s-1", "s", observer);
        let other = ScriptedTarget::start("s-2", "s", done_script());
        let rig = start_node(false, &[("s-1", &one), ("s-2", &other)]);
        let stream = client(&rig, request);
        await_signal(&observed.began, "the target received no identity request");
        depart(stream, Departure::Close);
        await_signal(&observed.ended, "the identity request was not cancelled");
        assert_all_released(&rig);
        assert_eq!((one.runs(), other.runs()), (0, 0));
        assert!(rig.settlements().is_empty(), "no ticket may be requested");
    }
}

/// Sends a one-time request whose client departs while its ticket request is pending. Returns the
/// target, the node, and a function that lets the controller answer.
fn depart_while_awaiting_ticket(departure: Departure) -> (ScriptedTarget, Rig, impl Fn()) {
    let one = ScriptedTarget::start("s-1", "s", vec![Script::Complete("x")]);
    let (rig, requested, allow_answer) = unresponsive_controller(&[("s-1", &one)]);
    let stream = client(&rig, ONE_TIME_POST);
    await_signal(&requested, "no ticket was requested");
    depart(stream, departure);
    (one, rig, allow_answer)
}

#[test]
fn ticket_granted_after_its_client_departed_is_settled_unsent_and_never_used() {
    for departure in DEPARTURES {
        let (one, rig, allow_answer) = depart_while_awaiting_ticket(departure);
        assert_all_released(&rig);
        allow_answer();
        assert_eq!(rig.settlements(), [Settlement::Unsent], "{departure:?}");
        assert_eq!(one.runs(), 0, "{departure:?}");
        assert_eq!(rig.withdrawn(), 1, "the ticket request must be withdrawn");
    }
}

#[test]
fn ticket_granted_while_its_client_departs_is_never_used() {
    for departure in DEPARTURES {
        let (one, rig, allow_answer) = depart_while_awaiting_ticket(departure);
        allow_answer();
        assert_all_released(&rig);
        assert_eq!(one.runs(), 0, "{departure:?}");
        assert_eq!(rig.settlements(), [Settlement::Unsent], "{departure:?}");
    }
}

#[test]
fn one_time_request_at_its_target_continues_after_departure_and_is_settled() {
    for departure in DEPARTURES {
        let (response_trigger, signal) = trigger();
        let reply = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone".to_vec();
        let one =
            ScriptedTarget::start("s-1", "s", vec![Script::Delayed(Vec::new(), signal, reply)]);
        let rig = start_node(false, &[("s-1", &one)]);
        let stream = client(&rig, ONE_TIME_POST);
        await_request(&one);
        depart(stream, departure);
        response_trigger.fire();
        await_idle(&rig);
        assert_eq!(rig.settlements(), [Settlement::Ran], "{departure:?}");
        let is_stored = rig.requested.lock().unwrap().iter().any(|request| {
            matches!(request, Request::Settle { response: Some(stored), .. } if stored.body == b"done")
        });
        assert!(is_stored, "the response must be stored for a repeat with the same key");
    }
}

/// Sends a large one-time request whose client departs after the target read only its first bytes.
fn depart_while_sending(key: &str) -> (UnreadingTarget, Rig) {
    let paused_target = UnreadingTarget::start("s-1", "s");
    let rig = Rig::new(Vec::new(), grant_all);
    rig.publish_with(vec![target("s-1", "s", paused_target.address)], LONG_DEADLINE_MS);
    let head =
        format!("POST /large/1 HTTP/1.1\r\nHost: h\r\n{key}Content-Length: {LARGE_BYTES}\r\n\r\n");
    let mut stream = client(&rig, head.as_bytes());
    stream.write_all(&vec![7; LARGE_BYTES as usize]).unwrap();
    await_signal(&paused_target.began, "the target did not receive the first bytes of the request");
    depart(stream, Departure::Close);
    (paused_target, rig)
}

#[test]
fn unkeyed_one_time_request_stops_sending_when_its_client_departs() {
    let (paused_target, rig) = depart_while_sending("");
    assert_all_released(&rig);
    assert_eq!(
        rig.settlements(),
        [Settlement::Unknown],
        "the target may have started to run the request"
    );
    assert_eq!(paused_target.resume_reading(), None, "unsent bytes must be discarded");
}

#[test]
fn keyed_one_time_request_is_sent_completely_after_departure() {
    let (paused_target, rig) = depart_while_sending("Idempotency-Key: k\r\n");
    assert_eq!(paused_target.resume_reading(), Some(LARGE_BYTES as usize));
    await_idle(&rig);
    assert_eq!(
        rig.settlements(),
        [Settlement::Ran],
        "a repeat with the same key gets the stored response"
    );
}

#[test]
fn one_time_request_rejected_by_its_target_is_not_retried_after_departure() {
    let (response_trigger, signal) = trigger();
    let rejection = response("p", "Not-Run: full\r\n", "");
    let one =
        ScriptedTarget::start("s-1", "s", vec![Script::Delayed(Vec::new(), signal, rejection)]);
    let other = ScriptedTarget::start("s-2", "s", done_script());
    let rig = start_node(true, &[("s-1", &one), ("s-2", &other)]);
    let stream = client(&rig, ONE_TIME_POST);
    await_request(&one);
    depart(stream, Departure::Close);
    response_trigger.fire();
    await_idle(&rig);
    assert_eq!((one.runs(), other.runs()), (1, 0));
}

/// Guards against a suspended node that forwards the calls of departed clients at its waking.
#[test]
fn coordination_change_of_a_departed_client_is_not_forwarded() {
    let owner = r#"{"holder":"a","fence":1,"ttlMs":1000}"#;
    let changes = [
        ("POST", "locks/l", r#"{"holder":"a","ttlMs":1000}"#),
        ("PUT", "locks/l", owner),
        ("DELETE", "locks/l", r#"{"holder":"a","fence":1}"#),
        ("POST", "numbers/n", "{}"),
        ("PUT", "keys/k", r#"{"value":"v"}"#),
        ("DELETE", "keys/k", "{}"),
    ];
    for (method, path, body) in changes {
        let text = format!("{method} /coordination/{path} HTTP/1.1\r\nHost: h\r\n\r\n");
        let (head, _) = parse(text.as_bytes()).unwrap().unwrap();
        assert!(read_call(&head, body.as_bytes()).is_ok_and(|call| !call.is_read()), "{text}");
        let rig = start_node(false, &[]);
        let (near, client) = connected_pair();
        drop(client);
        let response = serve(&rig.shared, &head, body.as_bytes(), &ClientWatch::new(&near));
        let outcome = ("Postbarrow-Outcome".to_string(), "not-run".to_string());
        assert_eq!(response.status, 503, "{method} {path}");
        assert!(response.headers.contains(&outcome), "{method} {path}");
        rig.withdrawn();
        let requested = rig.requested.lock().unwrap();
        let is_forwarded = requested.iter().any(|request| matches!(request, Request::Call { .. }));
        assert!(!is_forwarded, "{method} {path} was forwarded");
    }
}

#[test]
fn call_or_watch_of_a_departed_client_releases_its_permit_and_is_withdrawn() {
    let calls = ["POST /coordination/numbers/n", "GET /coordination/watch/numbers?after=3"];
    for call in calls {
        let (rig, requested, allow_answer) = unresponsive_controller(&[]);
        let head = format!("{call} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        let stream = client(&rig, head.as_bytes());
        await_signal(&requested, "the controller received no request");
        depart(stream, Departure::Close);
        await_idle(&rig);
        allow_answer();
        assert_eq!(rig.withdrawn(), 1, "{call}");
        let requested = rig.requested.lock().unwrap();
        let calls = requested.iter().filter(|request| matches!(request, Request::Call { .. }));
        assert_eq!(calls.count(), 1, "{call}");
    }
}
