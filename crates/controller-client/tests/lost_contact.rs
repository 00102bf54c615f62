//! Tests when a request without a response is answered as unavailable, and when as timed out, which
//! means that its outcome is unknown.

use postbarrow_constants::consensus::CONTACT_LOST_MS;
use postbarrow_constants::coordination::REQUEST_RETRY_MS;
use postbarrow_controller_client::{ControllerClient, Effect};
use postbarrow_messages::{Request, Response};
use std::net::SocketAddr;

const TIMEOUT_MS: u64 = 5_000;
const KEY: u64 = 9;

fn member(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 1))
}

/// A client that knows three members and their leader.
fn client() -> ControllerClient {
    let mut client = ControllerClient::default();
    client.on_members(0, Some(member(1)), &[member(1), member(2), member(3)]);
    client
}

fn send(client: &mut ControllerClient, now_ms: u64, key: u64) -> Vec<Effect> {
    client.send_request(now_ms, key, Request::Show, TIMEOUT_MS)
}

fn not_controller(controller: Option<SocketAddr>) -> Response {
    Response::NotController { controller }
}

fn sent_to(effects: &[Effect]) -> Vec<SocketAddr> {
    let to = effects.iter().filter_map(|effect| match effect {
        Effect::Send { to, .. } => Some(*to),
        Effect::Answer { .. } => None,
    });
    to.collect()
}

fn answers(effects: &[Effect]) -> Vec<(u64, Response)> {
    let answered = effects.iter().filter_map(|effect| match effect {
        Effect::Answer { key, response } => Some((*key, response.clone())),
        Effect::Send { .. } => None,
    });
    answered.collect()
}

/// Ticks until the client answers a request; returns the time and the response.
fn tick_until_answered(
    client: &mut ControllerClient,
    from_ms: u64,
    leaderless_since_ms: Option<u64>,
) -> (u64, Response) {
    for now_ms in (from_ms..from_ms + 2 * TIMEOUT_MS).step_by(20) {
        if let Some(since_ms) = leaderless_since_ms {
            client.on_leader_lost(since_ms);
        }
        if let Some((_, response)) = answers(&client.tick(now_ms)).pop() {
            return (now_ms, response);
        }
    }
    panic!("the request got no answer");
}

#[test]
fn new_request_of_a_cut_off_member_is_unavailable_at_once() {
    let mut client = client();
    client.on_leader_lost(0);
    let effects = send(&mut client, CONTACT_LOST_MS, KEY);
    assert_eq!(answers(&effects), [(KEY, Response::Unavailable)]);
    assert!(
        sent_to(&effects).is_empty(),
        "a request answered as unavailable must not have been sent"
    );
    assert_eq!(client.pending_count(), 0);
}

#[test]
fn request_during_an_election_is_sent_to_the_next_leader() {
    let mut client = client();
    client.on_leader_lost(0);
    assert!(send(&mut client, 100, KEY).is_empty());
    assert!(client.tick(CONTACT_LOST_MS - 1).is_empty());
    client.on_members(CONTACT_LOST_MS - 1, Some(member(2)), &[]);
    assert_eq!(sent_to(&client.tick(CONTACT_LOST_MS - 1)), [member(2)]);
    let effects = client.on_response(CONTACT_LOST_MS, KEY, Response::Settled);
    assert_eq!(answers(&effects), [(KEY, Response::Settled)]);
}

#[test]
fn request_that_was_never_sent_is_unavailable_once_contact_is_lost() {
    let mut client = client();
    client.on_leader_lost(0);
    assert!(send(&mut client, 500, KEY).is_empty());
    assert_eq!(
        tick_until_answered(&mut client, 500, Some(0)),
        (CONTACT_LOST_MS, Response::Unavailable)
    );
}

#[test]
fn request_that_was_sent_without_an_answer_times_out() {
    let mut client = client();
    assert_eq!(sent_to(&send(&mut client, 0, KEY)), [member(1)]);
    assert_eq!(tick_until_answered(&mut client, 20, Some(0)), (TIMEOUT_MS, Response::TimedOut));
}

#[test]
fn request_that_every_receiver_declined_is_unavailable_once_contact_is_lost() {
    let mut client = client();
    send(&mut client, 0, KEY);
    client.on_leader_lost(0);
    assert!(client.on_response(10, KEY, not_controller(None)).is_empty());
    assert_eq!(
        tick_until_answered(&mut client, 20, Some(0)),
        (CONTACT_LOST_MS, Response::Unavailable)
    );
}

#[test]
fn request_with_one_of_two_copies_declined_times_out() {
    let mut client = client();
    send(&mut client, 0, KEY);
    assert_eq!(sent_to(&client.tick(REQUEST_RETRY_MS)), [member(1)]);
    client.on_leader_lost(0);
    client.on_response(REQUEST_RETRY_MS + 10, KEY, not_controller(None));
    assert_eq!(tick_until_answered(&mut client, 400, Some(0)), (TIMEOUT_MS, Response::TimedOut));
}

#[test]
fn request_that_a_deposed_controller_began_times_out() {
    let mut client = client();
    send(&mut client, 0, KEY);
    client.tick(REQUEST_RETRY_MS);
    client.on_response(310, KEY, Response::Lost);
    client.on_leader_lost(310);
    client.on_response(320, KEY, not_controller(None));
    client.on_response(330, KEY, not_controller(None));
    assert_eq!(tick_until_answered(&mut client, 400, Some(0)), (TIMEOUT_MS, Response::TimedOut));
}

#[test]
fn response_that_arrives_without_a_leader_is_the_answer() {
    let mut client = client();
    send(&mut client, 0, KEY);
    client.on_leader_lost(0);
    assert!(client.tick(CONTACT_LOST_MS).is_empty(), "the copy in flight may have been accepted");
    let effects = client.on_response(CONTACT_LOST_MS + 10, KEY, Response::Settled);
    assert_eq!(answers(&effects), [(KEY, Response::Settled)]);
}

#[test]
fn response_after_the_answer_is_ignored() {
    let mut client = client();
    send(&mut client, 0, KEY);
    client.on_leader_lost(0);
    client.on_response(10, KEY, not_controller(None));
    assert_eq!(answers(&client.tick(CONTACT_LOST_MS)), [(KEY, Response::Unavailable)]);
    assert!(client.on_response(CONTACT_LOST_MS + 20, KEY, Response::Settled).is_empty());
}

#[test]
fn unavailable_from_a_receiver_is_ignored() {
    let mut client = client();
    send(&mut client, 0, KEY);
    assert!(client.on_response(10, KEY, Response::Unavailable).is_empty());
    assert_eq!(client.pending_count(), 1);
    assert_eq!(
        tick_until_answered(&mut client, 20, Some(0)),
        (TIMEOUT_MS, Response::TimedOut),
        "the receiver may have accepted the request"
    );
}

/// A controller responds `TimedOut` when it aborted a plan for lack of time: the outcome is
/// unknown, and the response is no refusal.
#[test]
fn timed_out_from_a_controller_is_the_answer() {
    let mut client = client();
    send(&mut client, 0, KEY);
    let effects = client.on_response(10, KEY, Response::TimedOut);
    assert_eq!(answers(&effects), [(KEY, Response::TimedOut)]);
    assert_eq!(client.pending_count(), 0);
}

#[test]
fn next_leader_ends_the_loss_of_contact_and_requests_are_sent_again() {
    let mut client = client();
    client.on_leader_lost(0);
    client.on_members(20_000, Some(member(3)), &[]);
    assert!(!client.is_cut_off(20_000));
    assert_eq!(sent_to(&send(&mut client, 20_000, KEY)), [member(3)]);
}

#[test]
fn client_outside_the_log_sends_to_the_members_in_turn() {
    let mut client = ControllerClient::default();
    client.on_members(0, None, &[member(1), member(2)]);
    let mut receivers = sent_to(&send(&mut client, 0, KEY));
    for now_ms in (20..2_000).step_by(20) {
        client.on_members(now_ms, None, &[]);
        receivers.extend(sent_to(&client.tick(now_ms)));
    }
    assert!(receivers.contains(&member(1)) && receivers.contains(&member(2)), "{receivers:?}");
    assert_eq!(tick_until_answered(&mut client, 2_000, None), (TIMEOUT_MS, Response::TimedOut));
}
