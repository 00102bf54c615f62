//! A refusal is told only once no copy of its question can still take effect.

use postbarrow_constants::coordination::REQUEST_RETRY_MS;
use postbarrow_controller_client::{ControllerClient, Effect};
use postbarrow_messages::{Request, Response};
use postbarrow_state::{Call, Key, Outcome};
use std::net::SocketAddr;

const QUESTION: u64 = 9;
const WAIT_MS: u64 = 2_500;

fn leader(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 1))
}

fn start() -> Request {
    let call = Call::Lock { name: "lock".into(), holder: "one".into(), ttl_ms: 1_000 };
    Request::Call { id: None, call }
}

fn held() -> Response {
    Response::Outcome(Outcome::LockedByOther { fence: 4 })
}

fn answers(effects: Vec<Effect>) -> Vec<Response> {
    let told = effects.into_iter().filter_map(|effect| match effect {
        Effect::Answer { response, .. } => Some(response),
        Effect::Send { .. } => None,
    });
    told.collect()
}

/// A client with one question that was sent so many times.
fn sent(request: Request, times: u64) -> ControllerClient {
    let mut client = ControllerClient::default();
    client.on_members(0, Some(leader(1)), &[leader(1), leader(2)]);
    let mut sends = client.send_request(0, QUESTION, request, WAIT_MS).len();
    for again in 1..times {
        sends += client.tick(again * REQUEST_RETRY_MS).len();
    }
    assert_eq!(sends as u64, times);
    client
}

#[test]
fn a_refusal_of_the_only_copy_is_told_at_once() {
    let refusals = [
        (start(), held()),
        (start(), Response::Full),
        (start(), Response::Outcome(Outcome::NotOwner)),
    ];
    for (request, refusal) in refusals {
        let mut client = sent(request, 1);
        assert_eq!(answers(client.on_response(5, QUESTION, refusal.clone())), [refusal]);
    }
}

#[test]
fn a_refusal_with_another_copy_on_its_way_waits_for_that_copys_answer() {
    for refusal in [held(), Response::Full] {
        let mut client = sent(start(), 2);
        assert!(answers(client.on_response(310, QUESTION, refusal.clone())).is_empty());
        assert!(
            client.tick(2 * REQUEST_RETRY_MS + 50).is_empty(),
            "a refused question goes no more"
        );
        let elsewhere = Response::NotController { controller: Some(leader(2)) };
        assert_eq!(answers(client.on_response(700, QUESTION, elsewhere)), [refusal]);
    }
    let mut client = sent(start(), 2);
    assert!(answers(client.on_response(310, QUESTION, held())).is_empty());
    let taken = Response::Outcome(Outcome::Locked { fence: 5, ttl_ms: 1_000 });
    assert_eq!(answers(client.on_response(320, QUESTION, taken.clone())), [taken]);
}

#[test]
fn a_refusal_whose_other_copy_is_never_heard_of_ends_as_unknown() {
    let mut client = sent(start(), 2);
    assert!(answers(client.on_response(310, QUESTION, Response::Full)).is_empty());
    assert_eq!(answers(client.tick(WAIT_MS)), [Response::TimedOut]);
    let mut lost = sent(start(), 1);
    assert!(answers(lost.on_response(5, QUESTION, Response::Lost)).is_empty());
    lost.tick(REQUEST_RETRY_MS);
    assert!(answers(lost.on_response(310, QUESTION, held())).is_empty(), "it may be committed");
    assert_eq!(answers(lost.tick(WAIT_MS)), [Response::TimedOut]);
}

#[test]
fn a_copy_that_its_controller_dropped_holds_no_refusal_back() {
    let mut client = sent(start(), 2);
    assert!(answers(client.on_response(310, QUESTION, Response::Duplicate)).is_empty());
    assert_eq!(answers(client.on_response(320, QUESTION, held())), [held()]);
}

#[test]
fn what_was_done_is_told_whatever_other_copies_do() {
    let put = Call::Put { name: "k".into(), value: vec![1], revision: Some(3) };
    let mut client = sent(Request::Call { id: Some("id".into()), call: put }, 3);
    let done = Response::Outcome(Outcome::Key(Key { value: vec![1], revision: 4 }));
    assert_eq!(answers(client.on_response(700, QUESTION, done.clone())), [done]);
    assert!(client.on_response(710, QUESTION, Response::Full).is_empty(), "nobody waits any more");
}

/// Who asked has left: no further copy goes out, and a late answer is nobody's.
#[test]
fn a_question_that_is_withdrawn_is_sent_no_more_and_gets_no_answer() {
    let mut client = sent(start(), 1);
    client.withdraw(QUESTION);
    assert_eq!(client.open(), 0);
    assert!(client.tick(REQUEST_RETRY_MS).is_empty(), "it is asked no more");
    assert!(client.on_response(REQUEST_RETRY_MS, QUESTION, held()).is_empty());
}
