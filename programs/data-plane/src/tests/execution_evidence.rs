//! Tests of what a node may state about the execution of a request, and of the evidence for it.

use super::rig::*;
use crate::dialect::ResponseJudgement;
use crate::target_connection::{
    CancelScope, Cancellation, ExchangeTerms, OutgoingRequest, TargetConnection,
};
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::memory_budget::{MemoryBudget, Reservation};
use postbarrow_messages::{Request, Response};
use postbarrow_node::AttemptOutcome;
use postbarrow_state::{Call, Change, Event, Outcome, Target};
use postbarrow_transport::clock_ms;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpStream;

fn reserve_response_memory() -> Reservation {
    MemoryBudget::new(1 << 20).reserve(0).unwrap()
}

fn header(reply: &str, name: &str) -> Option<String> {
    let line = reply.lines().find(|line| line.to_ascii_lowercase().starts_with(name))?;
    Some(line.split_once(": ")?.1.to_string())
}

fn ticket_keys(rig: &Rig) -> Vec<String> {
    let requested = rig.requested.lock().unwrap();
    let ticket_keys = requested.iter().filter_map(|request| match request {
        Request::Ticket(ticket) => Some(ticket.key.to_string()),
        _ => None,
    });
    ticket_keys.collect()
}

#[test]
fn client_without_key_receives_a_synthesized_key_for_a_safe_repeat() {
    let scripted = ScriptedTarget::start("s-1", "s", vec![Script::Raw(Vec::new())]);
    let rig = Rig::new(vec![target("s-1", "s", scripted.address)], grant_all);
    let reply = rig.post("", "a");
    assert!(reply.contains("Postbarrow-Outcome: unknown"), "{reply}");
    let key = header(&reply, "postbarrow-key:").expect("the synthesized key is in the response");
    assert_eq!(header(&reply, "retry-after:"), None, "a repeat without the key is not safe");
    assert_eq!(ticket_keys(&rig), [key.as_str()]);
    rig.post(&format!("Idempotency-Key: {key}\r\n"), "a");
    assert_eq!(
        ticket_keys(&rig),
        [key.as_str(), key.as_str()],
        "a repeat must request the ticket of the same key"
    );
    let other_key = header(&rig.post("", "a"), "postbarrow-key:").unwrap();
    assert_ne!(other_key, key);
    let common_suffix_length =
        other_key.bytes().zip(key.bytes()).rev().take_while(|(a, b)| a == b).count();
    assert!(common_suffix_length < 6, "a key can't be guessed from another: {key} {other_key}");
    let keyed = rig.post("Idempotency-Key: mine\r\n", "a");
    assert_eq!(header(&keyed, "postbarrow-key:"), None);
    assert!(header(&keyed, "retry-after:").is_some(), "the client's own key makes a repeat safe");
}

#[test]
fn keyed_request_with_an_invalid_body_is_unknown_and_never_not_run() {
    let scripted = ScriptedTarget::start("s-1", "s", vec![Script::Complete("fine")]);
    let rig = Rig::new(vec![target("s-1", "s", scripted.address)], grant_all);
    let post_invalid_chunk = |key: &str| {
        let head = format!("POST /post/1 HTTP/1.1\r\nHost: h\r\n{key}Transfer-Encoding: chunked");
        rig.raw(format!("{head}\r\n\r\nzz\r\n").as_bytes())
    };
    assert!(post_invalid_chunk("").contains("Postbarrow-Outcome: not-run"));
    let keyed = post_invalid_chunk("Idempotency-Key: k\r\n");
    assert!(keyed.starts_with("HTTP/1.1 400"), "{keyed}");
    assert!(keyed.contains("Postbarrow-Outcome: unknown"), "{keyed}");
    assert_eq!(scripted.runs(), 0);
}

/// Sends a one-time request to a target over a new connection on which the target identified
/// itself.
fn exchange(to: &Target, body: &[u8], may_send: &dyn Fn() -> bool) -> (AttemptOutcome, bool) {
    let no_client = ClientWatch::without_client();
    let until_ms = clock_ms() + 60_000;
    let mut connection = TargetConnection::open(to.address, until_ms, &no_client).unwrap();
    connection.identify(to, until_ms, &no_client).unwrap();
    let request = OutgoingRequest {
        method: "POST",
        path: "/post/1",
        headers: &[],
        body,
        until_ms,
        repeatable: false,
    };
    let terms = ExchangeTerms {
        may_send,
        cancellation: Cancellation::new(&no_client, CancelScope::Never),
        judge: &|_, _| ResponseJudgement::Complete,
    };
    connection.exchange(&request, &terms, &mut reserve_response_memory())
}

#[test]
fn failed_final_check_sends_no_byte_and_a_passed_check_is_evaluated_once() {
    let scripted = ScriptedTarget::start("s-1", "s", vec![Script::Complete("fine")]);
    let to = target("s-1", "s", scripted.address);
    let (outcome, is_reusable) = exchange(&to, b"a", &|| false);
    assert!(matches!(outcome, AttemptOutcome::Unsent(_)) && !is_reusable, "{outcome:?}");
    assert_eq!(scripted.runs(), 0);
    let evaluations = Cell::new(0);
    let body = vec![7; 300_000];
    let (outcome, is_reusable) =
        exchange(&to, &body, &|| evaluations.replace(evaluations.get() + 1) == 0);
    assert!(matches!(outcome, AttemptOutcome::Complete(_)) && is_reusable, "{outcome:?}");
    assert_eq!(
        evaluations.get(),
        1,
        "the check must be evaluated once, and not for the identity request"
    );
    assert_eq!(scripted.observed.lock().unwrap().bodies[0].len(), body.len());
}

#[test]
fn full_log_yields_not_run_with_retry_after() {
    let scripted = ScriptedTarget::start("s-1", "s", vec![Script::Complete("fine")]);
    let full = |request: &Request| match request {
        Request::Ticket(_) => Response::Full,
        request => grant_all(request),
    };
    let rig = Rig::new(vec![target("s-1", "s", scripted.address)], full);
    for key in ["", "Idempotency-Key: k\r\n"] {
        let reply = rig.post(key, "a");
        assert!(reply.starts_with("HTTP/1.1 503"), "{reply}");
        assert!(reply.contains("Postbarrow-Outcome: not-run"), "{reply}");
        assert!(header(&reply, "retry-after:").is_some());
    }
    assert_eq!(scripted.runs(), 0);
}

/// Guards against a watch that stays at its first revision while no events match it: the history
/// that it needs would be trimmed.
#[test]
fn watch_without_matching_events_advances_with_the_log() {
    let answer = |request: &Request| match request {
        Request::Call { call: Call::Watch { after: Some(3), .. }, .. } => {
            Response::Outcome(Outcome::Events { events: Vec::new(), next: 9 })
        }
        Request::Call { call: Call::Watch { after: Some(9), .. }, .. } => {
            let change = Change::Number(4);
            let event = Event { revision: 12, name: "n".into(), change };
            Response::Outcome(Outcome::Events { events: vec![event], next: 12 })
        }
        _ => Response::Outcome(Outcome::TooOld { floor: 5 }),
    };
    let rig = Rig::new(Vec::new(), answer);
    let mut stream = TcpStream::connect(rig.http).unwrap();
    let head =
        "GET /coordination/watch/numbers?after=3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    assert!(reply.contains("\"next\":12") && reply.contains("200 OK"), "{reply}");
}
