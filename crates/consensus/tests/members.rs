//! Changes of the membership: learners, seats and their order.

use postbarrow_consensus::*;
use postbarrow_constants::consensus::*;
use std::sync::Arc;

fn member(id: u64) -> Member {
    Member { id, address: format!("10.0.0.{id}:1").parse().unwrap() }
}

/// A leader of three whose second member has long been unresponsive, and whose third responds.
struct Bench {
    node: Consensus,
    now_ms: u64,
}

impl Bench {
    fn new() -> Bench {
        let members = (1..=3).map(member).collect();
        let snapshot = Snapshot { index: 0, term: 0, members, state: Vec::new() };
        let recovered =
            RecoveredState { snapshot: Some(Arc::new(snapshot)), ..RecoveredState::default() };
        let mut bench = Bench { node: Consensus::new(1, recovered, 7, 10_000), now_ms: 10_000 };
        while bench.node.role() != Role::Leader {
            bench.tick(&[3]);
            assert!(bench.now_ms < 20_000, "it never led");
        }
        let until_ms = bench.now_ms + VOTER_DEAD_MS + 500;
        while bench.now_ms < until_ms {
            bench.tick(&[3]);
        }
        bench
    }

    /// One tick, in which these members answer every message and all writes are synced.
    fn tick(&mut self, answering: &[u64]) {
        self.now_ms += 20;
        let mut effects: Vec<Effect> = self.node.handle(self.now_ms, Input::Tick);
        while !effects.is_empty() {
            let mut inputs = Vec::new();
            for effect in effects {
                match effect {
                    Effect::Write { sequence, .. } => inputs.push(Input::Synced(sequence)),
                    Effect::Send { to, message } if answering.contains(&to.id) => {
                        let response = response_to(message);
                        inputs.extend(response.map(|message| Input::Receive { from: to, message }));
                    }
                    _ => {}
                }
            }
            effects =
                inputs.into_iter().flat_map(|one| self.node.handle(self.now_ms, one)).collect();
        }
    }

    fn ids(&self) -> Vec<u64> {
        self.node.members().iter().map(|member| member.id).collect()
    }
}

fn response_to(message: Message) -> Option<Message> {
    match message {
        Message::PreVote(request) => {
            Some(Message::PreVoteResponse { term: request.term, granted: true })
        }
        Message::Vote(request) => Some(Message::VoteResponse { term: request.term, granted: true }),
        Message::Append(append) => Some(Message::AppendResponse(AppendResponse {
            term: append.term,
            matched: Some(append.prev_index + append.entries.len() as u64),
            hint: 0,
            sent_ms: append.sent_ms,
        })),
        Message::Snapshot(chunk) => Some(Message::SnapshotResponse(SnapshotResponse {
            term: chunk.term,
            index: chunk.index,
            received: chunk.total,
            done: true,
            sent_ms: chunk.sent_ms,
            offset: chunk.offset,
        })),
        _ => None,
    }
}

#[test]
fn no_responsive_voter_is_removed_while_another_is_unresponsive() {
    let mut bench = Bench::new();
    bench.node.handle(bench.now_ms, Input::AddLearner(member(9)));
    for _ in 0..400 {
        bench.tick(&[9]);
    }
    assert_eq!(bench.ids(), [1, 2, 3], "the second may only be partitioned; the third may be lost");
    bench.tick(&[2, 9]);
    for _ in 0..400 {
        bench.tick(&[2, 9]);
    }
    let mut ids = bench.ids();
    ids.sort_unstable();
    assert_eq!(ids, [1, 2, 9], "once the second responds again the third is replaced");
}

#[test]
fn a_caught_up_learner_replaces_an_unresponsive_voter() {
    let mut bench = Bench::new();
    bench.node.handle(bench.now_ms, Input::AddLearner(member(9)));
    for _ in 0..200 {
        bench.tick(&[3, 9]);
    }
    let mut ids = bench.ids();
    ids.sort_unstable();
    assert_eq!(ids, [1, 3, 9]);
}
