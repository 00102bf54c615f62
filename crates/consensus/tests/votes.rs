//! Votes: when a voter grants or refuses one, and when it withholds its vote because of a leader.

mod fixture;

use fixture::{member, recovered_voter};
use postbarrow_consensus::*;
use postbarrow_constants::consensus::{ELECTION_MIN_MS, LEADER_LEASE_MS};

fn voter(now_ms: u64, hard_state: HardState) -> Consensus {
    let HardState { term, voted_for } = hard_state;
    Consensus::new(1, RecoveredState { term, voted_for, ..recovered_voter() }, 7, now_ms)
}

fn receive(node: &mut Consensus, now_ms: u64, from: u64, message: Message) -> Vec<Effect> {
    node.handle(now_ms, Input::Receive { from: member(from), message })
}

fn vote_request(term: u64) -> VoteRequest {
    VoteRequest { term, last_index: 0, last_term: 0, leadership_transfer: false, leaderless: false }
}

fn append(term: u64) -> Message {
    let entries = Vec::new();
    Message::Append(AppendRequest {
        term,
        prev_index: 0,
        prev_term: 0,
        entries,
        commit_index: 0,
        sent_ms: 5,
    })
}

/// Returns whether the response among these effects grants the vote; `None` without a response.
fn granted(effects: &[Effect]) -> Option<bool> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::PreVoteResponse { granted, .. }, .. }
        | Effect::Send { message: Message::VoteResponse { granted, .. }, .. } => Some(*granted),
        _ => None,
    })
}

/// Notifies the node that the last write of these effects is synced.
fn sync(node: &mut Consensus, now_ms: u64, effects: &[Effect]) -> Vec<Effect> {
    let last = effects.iter().rev().find_map(|effect| match effect {
        Effect::Write { sequence, .. } => Some(*sequence),
        _ => None,
    });
    node.handle(now_ms, Input::Synced(last.expect("a write is requested")))
}

const START_MS: u64 = 10_000;

#[test]
fn a_voter_in_contact_with_a_leader_grants_no_vote_before_the_election_timeout() {
    let mut node = voter(START_MS, HardState::default());
    let last_contact_ms = START_MS + 5_000;
    receive(&mut node, last_contact_ms, 2, append(1));
    let last_withheld_ms = last_contact_ms + ELECTION_MIN_MS - 1;
    assert!(
        last_withheld_ms > last_contact_ms + LEADER_LEASE_MS,
        "the leader's lease must end before the voter no longer withholds its vote"
    );
    let early = receive(&mut node, last_withheld_ms, 3, Message::PreVote(vote_request(2)));
    assert_eq!(granted(&early), Some(false));
    let early = receive(&mut node, last_withheld_ms, 3, Message::Vote(vote_request(2)));
    assert!(
        early.is_empty(),
        "the voter responded although it must ignore the request and its term"
    );
    let due = receive(&mut node, last_withheld_ms + 1, 3, Message::PreVote(vote_request(2)));
    assert_eq!(granted(&due), Some(true));
}

#[test]
fn a_restarted_voter_grants_no_vote_before_the_election_timeout() {
    let mut node = voter(START_MS, HardState::default());
    let last_withheld_ms = START_MS + ELECTION_MIN_MS - 1;
    assert!(receive(&mut node, last_withheld_ms, 3, Message::Vote(vote_request(2))).is_empty());
    let due = receive(&mut node, last_withheld_ms + 1, 3, Message::Vote(vote_request(2)));
    assert_eq!(granted(&due), None, "the voter responded before its vote is on disk");
    assert_eq!(granted(&sync(&mut node, last_withheld_ms + 2, &due)), Some(true));
}

#[test]
fn a_vote_persists_across_a_restart() {
    let now_ms = START_MS + ELECTION_MIN_MS;
    let mut node = voter(START_MS, HardState { term: 4, voted_for: Some(2) });
    let other = receive(&mut node, now_ms, 3, Message::Vote(vote_request(4)));
    assert_eq!(
        granted(&other),
        Some(false),
        "the voter voted for member 2 in this term and must refuse member 3"
    );
    let again = receive(&mut node, now_ms, 2, Message::Vote(vote_request(4)));
    assert_eq!(granted(&sync(&mut node, now_ms, &again)), Some(true));
}

#[test]
fn a_candidate_with_a_shorter_log_is_refused() {
    let mut node = voter(START_MS, HardState::default());
    let entry = Entry { term: 1, index: 1, payload: Payload::Batch(vec![1]) };
    let append = AppendRequest {
        term: 1,
        prev_index: 0,
        prev_term: 0,
        entries: vec![entry],
        commit_index: 1,
        sent_ms: 5,
    };
    let effects = receive(&mut node, START_MS, 2, Message::Append(append));
    let has_acknowledged = |effects: &[Effect]| {
        effects.iter().any(|effect| {
            matches!(effect, Effect::Send { message: Message::AppendResponse(_), .. })
        })
    };
    assert!(!has_acknowledged(&effects), "the entry is acknowledged before the sync");
    let now_ms = START_MS + 2 * ELECTION_MIN_MS;
    assert!(has_acknowledged(&sync(&mut node, START_MS, &effects)));
    let shorter = receive(&mut node, now_ms, 3, Message::Vote(vote_request(5)));
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

fn leaderless_request(term: u64) -> VoteRequest {
    VoteRequest { leaderless: true, ..vote_request(term) }
}

/// Returns the round of the leader probe among these effects.
fn probe_round(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::LeaderProbe { round, .. }, .. } => Some(*round),
        _ => None,
    })
}

#[test]
fn a_complete_probe_round_without_a_leader_starts_an_election_at_once() {
    let mut node = voter(START_MS, HardState::default());
    let round =
        probe_round(&node.handle(START_MS + 20, Input::Tick)).expect("the voter probes at once");
    let not_leading_report =
        |round| Message::LeaderProbeResponse { term: 0, round, not_leading: true };
    assert!(
        receive(&mut node, START_MS + 21, 2, not_leading_report(round)).is_empty(),
        "the voter campaigns although only one of two others reported that it does not lead"
    );
    let campaign = receive(&mut node, START_MS + 22, 3, not_leading_report(round));
    let is_leaderless_pre_vote = |effect: &Effect| matches!(effect, Effect::Send { message: Message::PreVote(request), .. } if request.leaderless);
    assert!(
        campaign.iter().any(is_leaderless_pre_vote),
        "the voter does not campaign although both others reported in one round"
    );
    let mut node = voter(START_MS, HardState::default());
    let first = probe_round(&node.handle(START_MS + 20, Input::Tick)).unwrap();
    let second = probe_round(&node.handle(START_MS + 120, Input::Tick)).unwrap();
    assert!(receive(&mut node, START_MS + 121, 2, not_leading_report(first)).is_empty());
    assert!(
        receive(&mut node, START_MS + 122, 3, not_leading_report(second)).is_empty(),
        "the voter campaigns although the reports are of two rounds"
    );
    let may_lead = Message::LeaderProbeResponse { term: 0, round: second, not_leading: false };
    assert!(
        receive(&mut node, START_MS + 123, 2, may_lead).is_empty(),
        "the voter campaigns although member 2 may lead"
    );
}

#[test]
fn a_voter_contacted_by_a_leader_after_its_probe_response_refuses_a_leaderless_vote() {
    let mut node = voter(START_MS, HardState::default());
    let withheld_ms = START_MS + 100;
    assert_eq!(
        granted(&receive(&mut node, withheld_ms, 3, Message::PreVote(leaderless_request(2)))),
        Some(false)
    );
    receive(&mut node, withheld_ms, 3, Message::LeaderProbe { term: 0, round: 1 });
    assert_eq!(
        granted(&receive(&mut node, withheld_ms, 3, Message::PreVote(vote_request(2)))),
        Some(false)
    );
    assert_eq!(
        granted(&receive(&mut node, withheld_ms, 3, Message::PreVote(leaderless_request(2)))),
        Some(true)
    );
    receive(&mut node, withheld_ms + 1, 2, append(1));
    assert_eq!(
        granted(&receive(&mut node, withheld_ms, 3, Message::PreVote(leaderless_request(2)))),
        Some(false)
    );
    assert!(
        receive(&mut node, withheld_ms + 2, 3, Message::Vote(leaderless_request(2))).is_empty()
    );
    receive(&mut node, withheld_ms + 3, 3, Message::LeaderProbe { term: 0, round: 2 });
    receive(&mut node, withheld_ms + 4, 2, append(1));
    assert!(
        receive(&mut node, withheld_ms + 5, 3, Message::Vote(leaderless_request(2))).is_empty(),
        "the voter responded although a leader contacted it after its probe response"
    );
}

#[test]
fn a_probe_response_to_an_earlier_incarnation_is_ignored() {
    let mut before = voter(START_MS, HardState::default());
    let earlier =
        probe_round(&before.handle(START_MS, Input::Tick)).expect("the voter probes at once");
    let mut node = Consensus::new(1, recovered_voter(), 8, START_MS + 1);
    let round =
        probe_round(&node.handle(START_MS + 1, Input::Tick)).expect("the voter probes again");
    let not_leading_report =
        |round| Message::LeaderProbeResponse { term: 0, round, not_leading: true };
    assert!(receive(&mut node, START_MS + 2, 2, not_leading_report(round)).is_empty());
    let late = receive(&mut node, START_MS + 3, 3, not_leading_report(earlier));
    assert!(
        late.is_empty(),
        "the voter campaigns although member 3 may have become leader since its response"
    );
    let campaign = receive(&mut node, START_MS + 4, 3, not_leading_report(round));
    assert!(
        !campaign.is_empty(),
        "the voter does not campaign although both others reported in one round"
    );
}

#[test]
fn a_probe_response_from_before_a_leader_contact_is_ignored() {
    let mut node = voter(START_MS, HardState::default());
    let round = probe_round(&node.handle(START_MS, Input::Tick)).expect("the voter probes at once");
    let not_leading_report = |term| Message::LeaderProbeResponse { term, round, not_leading: true };
    assert!(receive(&mut node, START_MS + 1, 3, not_leading_report(0)).is_empty());
    receive(&mut node, START_MS + 2, 3, append(1));
    let refused = Message::AppendResponse(AppendResponse {
        term: 2,
        match_index: None,
        next_index_hint: 0,
        sent_ms: 0,
    });
    receive(&mut node, START_MS + 3, 2, refused);
    assert!(
        receive(&mut node, START_MS + 4, 2, not_leading_report(1)).is_empty(),
        "the voter campaigns although member 3 led after its response"
    );
}
