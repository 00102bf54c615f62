//! When a question is told as not taken, and when nobody can say.

use postbarrow_constants::consensus::CONTACT_LOST_MS;
use postbarrow_constants::coordination::REQUEST_RETRY_MS;
use postbarrow_controller_client::{ControllerClient, Effect};
use postbarrow_messages::{Request, Response};
use std::net::SocketAddr;

const WAIT_MS: u64 = 5_000;
const KEY: u64 = 9;

fn member(at: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, at], 1))
}

/// A client that knows three members and their leader.
fn client() -> ControllerClient {
    let mut client = ControllerClient::default();
    client.on_members(0, Some(member(1)), &[member(1), member(2), member(3)]);
    client
}

fn ask(client: &mut ControllerClient, now_ms: u64, key: u64) -> Vec<Effect> {
    client.send_request(now_ms, key, Request::Show, WAIT_MS)
}

fn declines(controller: Option<SocketAddr>) -> Response {
    Response::NotController { controller }
}

fn sends(effects: &[Effect]) -> Vec<SocketAddr> {
    let to = effects.iter().filter_map(|effect| match effect {
        Effect::Send { to, .. } => Some(*to),
        Effect::Answer { .. } => None,
    });
    to.collect()
}

fn answers(effects: &[Effect]) -> Vec<(u64, Response)> {
    let told = effects.iter().filter_map(|effect| match effect {
        Effect::Answer { key, response } => Some((*key, response.clone())),
        Effect::Send { .. } => None,
    });
    told.collect()
}

/// Ticks until there is an answer; when, and which.
fn ends(
    client: &mut ControllerClient,
    from_ms: u64,
    silent_since_ms: Option<u64>,
) -> (u64, Response) {
    for now_ms in (from_ms..from_ms + 2 * WAIT_MS).step_by(20) {
        if let Some(since_ms) = silent_since_ms {
            client.on_leader_lost(since_ms);
        }
        if let Some((_, response)) = answers(&client.tick(now_ms)).pop() {
            return (now_ms, response);
        }
    }
    panic!("no end");
}

#[test]
fn a_cut_off_member_answers_new_questions_at_once() {
    let mut client = client();
    client.on_leader_lost(0);
    let told = ask(&mut client, CONTACT_LOST_MS, KEY);
    assert_eq!(answers(&told), [(KEY, Response::Unavailable)]);
    assert!(sends(&told).is_empty(), "and it stays with that: nothing went out");
    assert_eq!(client.open(), 0);
}

#[test]
fn within_an_ordinary_election_a_question_waits_and_goes_to_the_next_leader() {
    let mut client = client();
    client.on_leader_lost(0);
    assert!(ask(&mut client, 100, KEY).is_empty());
    assert!(client.tick(CONTACT_LOST_MS - 1).is_empty());
    client.on_members(CONTACT_LOST_MS - 1, Some(member(2)), &[]);
    assert_eq!(sends(&client.tick(CONTACT_LOST_MS - 1)), [member(2)]);
    let told = client.on_response(CONTACT_LOST_MS, KEY, Response::Settled);
    assert_eq!(answers(&told), [(KEY, Response::Settled)]);
}

#[test]
fn what_waited_for_a_leader_in_vain_is_told_as_not_taken_when_contact_is_lost() {
    let mut client = client();
    client.on_leader_lost(0);
    assert!(ask(&mut client, 500, KEY).is_empty());
    assert_eq!(ends(&mut client, 500, Some(0)), (CONTACT_LOST_MS, Response::Unavailable));
}

#[test]
fn what_was_sent_and_not_answered_is_never_told_as_not_taken() {
    let mut client = client();
    assert_eq!(sends(&ask(&mut client, 0, KEY)), [member(1)]);
    assert_eq!(ends(&mut client, 20, Some(0)), (WAIT_MS, Response::TimedOut));
}

#[test]
fn what_every_receiver_declined_is_told_as_not_taken() {
    let mut client = client();
    ask(&mut client, 0, KEY);
    client.on_leader_lost(0);
    assert!(client.on_response(10, KEY, declines(None)).is_empty());
    assert_eq!(ends(&mut client, 20, Some(0)), (CONTACT_LOST_MS, Response::Unavailable));
}

#[test]
fn a_second_send_that_was_declined_says_nothing_of_the_first() {
    let mut client = client();
    ask(&mut client, 0, KEY);
    assert_eq!(sends(&client.tick(REQUEST_RETRY_MS)), [member(1)]);
    client.on_leader_lost(0);
    client.on_response(REQUEST_RETRY_MS + 10, KEY, declines(None));
    assert_eq!(ends(&mut client, 400, Some(0)), (WAIT_MS, Response::TimedOut));
}

#[test]
fn what_a_controller_began_before_it_was_deposed_is_never_told_as_not_taken() {
    let mut client = client();
    ask(&mut client, 0, KEY);
    client.tick(REQUEST_RETRY_MS);
    client.on_response(310, KEY, Response::Lost);
    client.on_leader_lost(310);
    client.on_response(320, KEY, declines(None));
    client.on_response(330, KEY, declines(None));
    assert_eq!(ends(&mut client, 400, Some(0)), (WAIT_MS, Response::TimedOut));
}

#[test]
fn an_answer_that_comes_while_no_leader_is_heard_counts() {
    let mut client = client();
    ask(&mut client, 0, KEY);
    client.on_leader_lost(0);
    assert!(client.tick(CONTACT_LOST_MS).is_empty(), "it may have been taken");
    let told = client.on_response(CONTACT_LOST_MS + 10, KEY, Response::Settled);
    assert_eq!(answers(&told), [(KEY, Response::Settled)]);
}

#[test]
fn a_late_response_finds_nobody() {
    let mut client = client();
    ask(&mut client, 0, KEY);
    client.on_leader_lost(0);
    client.on_response(10, KEY, declines(None));
    assert_eq!(answers(&client.tick(CONTACT_LOST_MS)), [(KEY, Response::Unavailable)]);
    assert!(client.on_response(CONTACT_LOST_MS + 20, KEY, Response::Settled).is_empty());
}

#[test]
fn the_end_of_a_question_is_this_desks_to_tell() {
    let mut client = client();
    ask(&mut client, 0, KEY);
    assert!(client.on_response(10, KEY, Response::Unavailable).is_empty());
    assert_eq!(client.open(), 1);
    assert_eq!(ends(&mut client, 20, Some(0)), (WAIT_MS, Response::TimedOut), "it may be taken");
}

/// A controller that aborted an order for want of time says so: no clear answer, and no refusal.
#[test]
fn a_controllers_word_that_the_end_is_unclear_ends_the_question_as_unclear() {
    let mut client = client();
    ask(&mut client, 0, KEY);
    let told = client.on_response(10, KEY, Response::TimedOut);
    assert_eq!(answers(&told), [(KEY, Response::TimedOut)]);
    assert_eq!(client.open(), 0);
}

#[test]
fn silence_ends_with_the_next_leader_and_then_nothing_is_refused() {
    let mut client = client();
    client.on_leader_lost(0);
    client.on_members(20_000, Some(member(3)), &[]);
    assert!(!client.is_cut_off(20_000));
    assert_eq!(sends(&ask(&mut client, 20_000, KEY)), [member(3)]);
}

#[test]
fn one_that_is_no_member_of_the_log_goes_on_asking_members_in_turn() {
    let mut client = ControllerClient::default();
    client.on_members(0, None, &[member(1), member(2)]);
    let mut asked = sends(&ask(&mut client, 0, KEY));
    for now_ms in (20..2_000).step_by(20) {
        client.on_members(now_ms, None, &[]);
        asked.extend(sends(&client.tick(now_ms)));
    }
    assert!(asked.contains(&member(1)) && asked.contains(&member(2)), "{asked:?}");
    assert_eq!(ends(&mut client, 2_000, None), (WAIT_MS, Response::TimedOut));
}
