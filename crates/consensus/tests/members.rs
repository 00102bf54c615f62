//! Membership changes: when a learner replaces an unresponsive voter.

mod fixture;

use fixture::{member, recovered_voter};
use postbarrow_consensus::*;
use postbarrow_constants::consensus::*;

/// Member 1 of three voters, which leads. Member 2 has been unresponsive for longer than the
/// dead-voter timeout, and member 3 responds.
struct LeaderHarness {
    node: Consensus,
    now_ms: u64,
}

impl LeaderHarness {
    fn new() -> LeaderHarness {
        let node = Consensus::new(1, recovered_voter(), 7, 10_000);
        let mut harness = LeaderHarness { node, now_ms: 10_000 };
        while harness.node.role() != Role::Leader {
            harness.tick(&[3]);
            assert!(harness.now_ms < 20_000, "member 1 was not elected");
        }
        let until_ms = harness.now_ms + VOTER_DEAD_MS + 500;
        while harness.now_ms < until_ms {
            harness.tick(&[3]);
        }
        harness
    }

    /// Runs one tick, in which these members respond to every message and all writes are synced.
    fn tick(&mut self, responsive: &[u64]) {
        self.now_ms += 20;
        let mut effects: Vec<Effect> = self.node.handle(self.now_ms, Input::Tick);
        while !effects.is_empty() {
            let mut inputs = Vec::new();
            for effect in effects {
                match effect {
                    Effect::Write { sequence, .. } => inputs.push(Input::Synced(sequence)),
                    Effect::Send { to, message } if responsive.contains(&to.id) => {
                        let response = response_to(message);
                        inputs.extend(response.map(|message| Input::Receive { from: to, message }));
                    }
                    _ => {}
                }
            }
            effects =
                inputs.into_iter().flat_map(|input| self.node.handle(self.now_ms, input)).collect();
        }
    }

    /// Returns the ids of the members in the leader's configuration.
    fn member_ids(&self) -> Vec<u64> {
        self.node.members().iter().map(|member| member.id).collect()
    }
}

/// Returns the response of a member that grants and accepts everything.
fn response_to(message: Message) -> Option<Message> {
    match message {
        Message::PreVote(request) => {
            Some(Message::PreVoteResponse { term: request.term, granted: true })
        }
        Message::Vote(request) => Some(Message::VoteResponse { term: request.term, granted: true }),
        Message::Append(append) => Some(Message::AppendResponse(AppendResponse {
            term: append.term,
            match_index: Some(append.prev_index + append.entries.len() as u64),
            next_index_hint: 0,
            sent_ms: append.sent_ms,
        })),
        Message::Snapshot(chunk) => Some(Message::SnapshotResponse(SnapshotResponse {
            term: chunk.term,
            index: chunk.index,
            received_bytes: chunk.total_bytes,
            done: true,
            sent_ms: chunk.sent_ms,
            offset: chunk.offset,
        })),
        _ => None,
    }
}

#[test]
fn no_voter_is_replaced_while_two_of_three_are_unresponsive() {
    let mut harness = LeaderHarness::new();
    harness.node.handle(harness.now_ms, Input::AddLearner(member(9)));
    for _ in 0..400 {
        harness.tick(&[9]);
    }
    assert_eq!(
        harness.member_ids(),
        [1, 2, 3],
        "member 2 may only be partitioned, and member 3 may be lost"
    );
    harness.tick(&[2, 9]);
    for _ in 0..400 {
        harness.tick(&[2, 9]);
    }
    let mut ids = harness.member_ids();
    ids.sort_unstable();
    assert_eq!(ids, [1, 2, 9], "member 3 is not replaced although member 2 responds again");
}

#[test]
fn a_caught_up_learner_replaces_an_unresponsive_voter() {
    let mut harness = LeaderHarness::new();
    harness.node.handle(harness.now_ms, Input::AddLearner(member(9)));
    for _ in 0..200 {
        harness.tick(&[3, 9]);
    }
    let mut ids = harness.member_ids();
    ids.sort_unstable();
    assert_eq!(ids, [1, 3, 9]);
}
