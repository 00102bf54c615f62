use postbarrow_consensus::*;
use postbarrow_constants::consensus::{ELECTION_MIN_MS, LEADER_LEASE_MS};
use std::sync::Arc;

fn member(id: u64) -> Member {
    Member { id, address: format!("10.0.0.{id}:1").parse().unwrap() }
}

fn voter(now_ms: u64, hard: HardState) -> Consensus {
    let members = (1..=3).map(member).collect();
    let snapshot = Snapshot { index: 0, term: 0, members, state: Vec::new() };
    let recovered = RecoveredState {
        term: hard.term,
        voted_for: hard.voted_for,
        snapshot: Some(Arc::new(snapshot)),
        entries: Vec::new(),
    };
    Consensus::new(1, recovered, 7, now_ms)
}

fn receive(node: &mut Consensus, now_ms: u64, from: u64, message: Message) -> Vec<Effect> {
    node.handle(now_ms, Input::Receive { from: member(from), message })
}

fn ask(term: u64) -> VoteRequest {
    VoteRequest { term, last_index: 0, last_term: 0, leadership_transfer: false, leaderless: false }
}

fn append(term: u64) -> Message {
    let entries = Vec::new();
    Message::Append(AppendRequest {
        term,
        prev_index: 0,
        prev_term: 0,
        entries,
        commit: 0,
        sent_ms: 5,
    })
}

fn granted(effects: &[Effect]) -> Option<bool> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::PreVoteResponse { granted, .. }, .. }
        | Effect::Send { message: Message::VoteResponse { granted, .. }, .. } => Some(*granted),
        _ => None,
    })
}

fn sync(node: &mut Consensus, now_ms: u64, effects: &[Effect]) -> Vec<Effect> {
    let last = effects.iter().rev().find_map(|effect| match effect {
        Effect::Write { sequence, .. } => Some(*sequence),
        _ => None,
    });
    node.handle(now_ms, Input::Synced(last.expect("something is written")))
}

const START_MS: u64 = 10_000;

#[test]
fn who_heard_a_leader_promises_nothing_until_its_hold_is_over() {
    let mut node = voter(START_MS, HardState::default());
    let heard_ms = START_MS + 5_000;
    receive(&mut node, heard_ms, 2, append(1));
    let soon_ms = heard_ms + ELECTION_MIN_MS - 1;
    assert!(soon_ms > heard_ms + LEADER_LEASE_MS, "the hold ends for its holder first");
    let early = receive(&mut node, soon_ms, 3, Message::PreVote(ask(2)));
    assert_eq!(granted(&early), Some(false));
    let early = receive(&mut node, soon_ms, 3, Message::Vote(ask(2)));
    assert!(early.is_empty(), "not even the term is taken up");
    let due = receive(&mut node, soon_ms + 1, 3, Message::PreVote(ask(2)));
    assert_eq!(granted(&due), Some(true));
}

#[test]
fn who_just_started_may_have_promised_and_waits_as_long() {
    let mut node = voter(START_MS, HardState::default());
    let soon_ms = START_MS + ELECTION_MIN_MS - 1;
    assert!(receive(&mut node, soon_ms, 3, Message::Vote(ask(2))).is_empty());
    let due = receive(&mut node, soon_ms + 1, 3, Message::Vote(ask(2)));
    assert_eq!(granted(&due), None, "no word before the vote is on disk");
    assert_eq!(granted(&sync(&mut node, soon_ms + 2, &due)), Some(true));
}

#[test]
fn a_vote_outlives_its_process() {
    let now_ms = START_MS + ELECTION_MIN_MS;
    let mut node = voter(START_MS, HardState { term: 4, voted_for: Some(2) });
    let other = receive(&mut node, now_ms, 3, Message::Vote(ask(4)));
    assert_eq!(granted(&other), Some(false), "it voted for 2 in this term");
    let again = receive(&mut node, now_ms, 2, Message::Vote(ask(4)));
    assert_eq!(granted(&sync(&mut node, now_ms, &again)), Some(true));
}

#[test]
fn a_shorter_log_gets_no_vote() {
    let mut node = voter(START_MS, HardState::default());
    let entry = Entry { term: 1, index: 1, payload: Payload::Batch(vec![1]) };
    let append = AppendRequest {
        term: 1,
        prev_index: 0,
        prev_term: 0,
        entries: vec![entry],
        commit: 1,
        sent_ms: 5,
    };
    let effects = receive(&mut node, START_MS, 2, Message::Append(append));
    let said = |effects: &[Effect]| {
        effects.iter().any(|effect| {
            matches!(effect, Effect::Send { message: Message::AppendResponse(_), .. })
        })
    };
    assert!(!said(&effects), "no yes before the sync");
    let now_ms = START_MS + 2 * ELECTION_MIN_MS;
    assert!(said(&sync(&mut node, START_MS, &effects)));
    let shorter = receive(&mut node, now_ms, 3, Message::Vote(ask(5)));
    assert_eq!(granted(&sync(&mut node, now_ms, &shorter)), Some(false));
    let longer = VoteRequest {
        term: 6,
        last_index: 1,
        last_term: 1,
        leadership_transfer: false,
        leaderless: false,
    };
    let longer = receive(&mut node, now_ms, 3, Message::Vote(longer));
    assert_eq!(granted(&sync(&mut node, now_ms, &longer)), Some(true));
}

fn clear(term: u64) -> VoteRequest {
    VoteRequest { leaderless: true, ..ask(term) }
}

fn asked(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::LeaderProbe { round, .. }, .. } => Some(*round),
        _ => None,
    })
}

#[test]
fn when_all_say_in_one_round_that_they_do_not_lead_nobody_waits_for_a_hold() {
    let mut node = voter(START_MS, HardState::default());
    let round = asked(&node.handle(START_MS + 20, Input::Tick)).expect("it asks at once");
    let free = |round| Message::LeaderProbeResponse { term: 0, round, free: true };
    assert!(receive(&mut node, START_MS + 21, 2, free(round)).is_empty(), "one is not all");
    let tries = receive(&mut node, START_MS + 22, 3, free(round));
    let pre = |effect: &Effect| matches!(effect, Effect::Send { message: Message::PreVote(ask), .. } if ask.leaderless);
    assert!(tries.iter().any(pre), "both others said so in one round");
    let mut node = voter(START_MS, HardState::default());
    let first = asked(&node.handle(START_MS + 20, Input::Tick)).unwrap();
    let second = asked(&node.handle(START_MS + 120, Input::Tick)).unwrap();
    assert!(receive(&mut node, START_MS + 121, 2, free(first)).is_empty());
    assert!(receive(&mut node, START_MS + 122, 3, free(second)).is_empty(), "two rounds");
    let leads = Message::LeaderProbeResponse { term: 0, round: second, free: false };
    assert!(receive(&mut node, START_MS + 123, 2, leads).is_empty(), "one leads");
}

#[test]
fn a_voter_that_heard_a_leader_since_its_word_is_bound_all_the_same() {
    let mut node = voter(START_MS, HardState::default());
    let soon_ms = START_MS + 100;
    assert_eq!(granted(&receive(&mut node, soon_ms, 3, Message::PreVote(clear(2)))), Some(false));
    receive(&mut node, soon_ms, 3, Message::LeaderProbe { term: 0, round: 1 });
    assert_eq!(granted(&receive(&mut node, soon_ms, 3, Message::PreVote(ask(2)))), Some(false));
    assert_eq!(granted(&receive(&mut node, soon_ms, 3, Message::PreVote(clear(2)))), Some(true));
    receive(&mut node, soon_ms + 1, 2, append(1));
    assert_eq!(granted(&receive(&mut node, soon_ms, 3, Message::PreVote(clear(2)))), Some(false));
    assert!(receive(&mut node, soon_ms + 2, 3, Message::Vote(clear(2))).is_empty());
    receive(&mut node, soon_ms + 3, 3, Message::LeaderProbe { term: 0, round: 2 });
    receive(&mut node, soon_ms + 4, 2, append(1));
    assert!(receive(&mut node, soon_ms + 5, 3, Message::Vote(clear(2))).is_empty(), "heard again");
}

#[test]
fn an_answer_to_an_earlier_life_counts_in_no_round_of_this_one() {
    let mut before = voter(START_MS, HardState::default());
    let earlier = asked(&before.handle(START_MS, Input::Tick)).expect("it asks at once");
    let members = (1..=3).map(member).collect();
    let snapshot = Snapshot { index: 0, term: 0, members, state: Vec::new() };
    let recovered =
        RecoveredState { snapshot: Some(Arc::new(snapshot)), ..RecoveredState::default() };
    let mut node = Consensus::new(1, recovered, 8, START_MS + 1);
    let round = asked(&node.handle(START_MS + 1, Input::Tick)).expect("it asks again");
    let free = |round| Message::LeaderProbeResponse { term: 0, round, free: true };
    assert!(receive(&mut node, START_MS + 2, 2, free(round)).is_empty());
    let late = receive(&mut node, START_MS + 3, 3, free(earlier));
    assert!(late.is_empty(), "3 may have begun to lead since");
    let tries = receive(&mut node, START_MS + 4, 3, free(round));
    assert!(!tries.is_empty(), "both others said so in one round of this life");
}

#[test]
fn an_answer_from_before_a_leader_was_heard_counts_no_more() {
    let mut node = voter(START_MS, HardState::default());
    let round = asked(&node.handle(START_MS, Input::Tick)).expect("it asks at once");
    let free = |term| Message::LeaderProbeResponse { term, round, free: true };
    assert!(receive(&mut node, START_MS + 1, 3, free(0)).is_empty());
    receive(&mut node, START_MS + 2, 3, append(1));
    let refused =
        Message::AppendResponse(AppendResponse { term: 2, matched: None, hint: 0, sent_ms: 0 });
    receive(&mut node, START_MS + 3, 2, refused);
    assert!(receive(&mut node, START_MS + 4, 2, free(1)).is_empty(), "3 led since its answer");
}
