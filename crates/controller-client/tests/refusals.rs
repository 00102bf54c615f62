//! Tests that a refusal is reported only once no copy of its request can still take effect.

use postbarrow_constants::coordination::REQUEST_RETRY_MS;
use postbarrow_controller_client::{ControllerClient, Effect};
use postbarrow_messages::{Request, Response};
use postbarrow_state::{Call, Key, Outcome};
use std::net::SocketAddr;

const KEY: u64 = 9;
const TIMEOUT_MS: u64 = 2_500;

fn control_node(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 1))
}

fn lock_request() -> Request {
    let call = Call::Lock { name: "lock".into(), holder: "one".into(), ttl_ms: 1_000 };
    Request::Call { id: None, call }
}

fn locked_by_other() -> Response {
    Response::Outcome(Outcome::LockedByOther { fence: 4 })
}

fn answers(effects: Vec<Effect>) -> Vec<Response> {
    let answered = effects.into_iter().filter_map(|effect| match effect {
        Effect::Answer { response, .. } => Some(response),
        Effect::Send { .. } => None,
    });
    answered.collect()
}

/// A client with one pending request, of which `copies` copies were sent.
fn client_after_sends(request: Request, copies: u64) -> ControllerClient {
    let mut client = ControllerClient::default();
    client.on_members(0, Some(control_node(1)), &[control_node(1), control_node(2)]);
    let mut sends = client.send_request(0, KEY, request, TIMEOUT_MS).len();
    for retry in 1..copies {
        sends += client.tick(retry * REQUEST_RETRY_MS).len();
    }
    assert_eq!(sends as u64, copies);
    client
}

#[test]
fn refusal_of_the_only_copy_is_reported_at_once() {
    let refusals = [
        (lock_request(), locked_by_other()),
        (lock_request(), Response::Full),
        (lock_request(), Response::Outcome(Outcome::NotOwner)),
    ];
    for (request, refusal) in refusals {
        let mut client = client_after_sends(request, 1);
        assert_eq!(answers(client.on_response(5, KEY, refusal.clone())), [refusal]);
    }
}

#[test]
fn refusal_with_another_copy_in_flight_waits_for_that_copys_response() {
    for refusal in [locked_by_other(), Response::Full] {
        let mut client = client_after_sends(lock_request(), 2);
        assert!(answers(client.on_response(310, KEY, refusal.clone())).is_empty());
        assert!(
            client.tick(2 * REQUEST_RETRY_MS + 50).is_empty(),
            "no copy is sent after a refusal"
        );
        let declined = Response::NotController { controller: Some(control_node(2)) };
        assert_eq!(answers(client.on_response(700, KEY, declined)), [refusal]);
    }
    let mut client = client_after_sends(lock_request(), 2);
    assert!(answers(client.on_response(310, KEY, locked_by_other())).is_empty());
    let accepted = Response::Outcome(Outcome::Locked { fence: 5, ttl_ms: 1_000 });
    assert_eq!(answers(client.on_response(320, KEY, accepted.clone())), [accepted]);
}

#[test]
fn refusal_with_another_copy_unanswered_times_out() {
    let mut client = client_after_sends(lock_request(), 2);
    assert!(answers(client.on_response(310, KEY, Response::Full)).is_empty());
    assert_eq!(answers(client.tick(TIMEOUT_MS)), [Response::TimedOut]);
    let mut lost = client_after_sends(lock_request(), 1);
    assert!(answers(lost.on_response(5, KEY, Response::Lost)).is_empty());
    lost.tick(REQUEST_RETRY_MS);
    assert!(
        answers(lost.on_response(310, KEY, locked_by_other())).is_empty(),
        "the request may be committed"
    );
    assert_eq!(answers(lost.tick(TIMEOUT_MS)), [Response::TimedOut]);
}

#[test]
fn refusal_is_reported_when_the_other_copy_was_dropped_as_a_duplicate() {
    let mut client = client_after_sends(lock_request(), 2);
    assert!(answers(client.on_response(310, KEY, Response::Duplicate)).is_empty());
    assert_eq!(answers(client.on_response(320, KEY, locked_by_other())), [locked_by_other()]);
}

#[test]
fn success_is_reported_while_other_copies_are_in_flight() {
    let put = Call::Put { name: "k".into(), value: vec![1], revision: Some(3) };
    let mut client = client_after_sends(Request::Call { id: Some("id".into()), call: put }, 3);
    let done = Response::Outcome(Outcome::Key(Key { value: vec![1], revision: 4 }));
    assert_eq!(answers(client.on_response(700, KEY, done.clone())), [done]);
    assert!(
        client.on_response(710, KEY, Response::Full).is_empty(),
        "the request is no longer pending"
    );
}

/// A request is withdrawn when its client departs: no further copy is sent, and a late response is
/// ignored.
#[test]
fn withdrawn_request_is_not_sent_again_and_gets_no_answer() {
    let mut client = client_after_sends(lock_request(), 1);
    client.withdraw(KEY);
    assert_eq!(client.pending_count(), 0);
    assert!(client.tick(REQUEST_RETRY_MS).is_empty(), "no copy is sent after the withdrawal");
    assert!(client.on_response(REQUEST_RETRY_MS, KEY, locked_by_other()).is_empty());
}
