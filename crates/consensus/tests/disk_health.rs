//! A member with a stalled disk neither votes nor campaigns; if it leads, it transfers leadership or
//! steps down.

mod fixture;

use fixture::{member, recovered_voter};
use postbarrow_consensus::*;
use postbarrow_constants::consensus::*;

/// Three voters with immediate delivery of frames and immediate syncs, except that the writes of a
/// stalled disk stay pending.
struct ThreeVoters {
    nodes: Vec<Consensus>,
    now_ms: u64,
    /// The member whose disk is stalled, if any.
    stalled: Option<u64>,
    /// Sequence numbers of the stalled member's unsynced writes.
    unsynced: Vec<u64>,
    /// Number of messages by which the stalled member requested or granted votes or pre-votes since
    /// its disk stalled.
    vote_messages: usize,
    /// Number of messages that the member sent in direct response to the newest input of a test.
    direct_messages: usize,
}

impl ThreeVoters {
    fn led_by_member_1() -> ThreeVoters {
        let consensus = |id| Consensus::new(id, recovered_voter(), 7 + id, 1_000);
        let nodes = (1..=3).map(consensus).collect();
        let mut cluster = ThreeVoters {
            nodes,
            now_ms: 10_000,
            stalled: None,
            unsynced: vec![],
            vote_messages: 0,
            direct_messages: 0,
        };
        cluster.handle_input(1, Input::Tick);
        cluster.tick(100);
        assert_eq!(cluster.node(1).role(), Role::Leader);
        cluster
    }

    fn node(&self, id: u64) -> &Consensus {
        &self.nodes[id as usize - 1]
    }

    fn handle_input(&mut self, to: u64, input: Input) {
        let mut queue = vec![(to, input)];
        let mut is_first = true;
        while let Some((to, input)) = queue.pop() {
            let effects = self.nodes[to as usize - 1].handle(self.now_ms, input);
            if std::mem::take(&mut is_first) {
                let is_message = |effect: &&Effect| matches!(effect, Effect::Send { .. });
                self.direct_messages = effects.iter().filter(is_message).count();
            }
            for effect in effects {
                match effect {
                    Effect::Send { to: other, message } => {
                        let is_vote_message = matches!(
                            message,
                            Message::PreVoteResponse { granted: true, .. }
                                | Message::VoteResponse { granted: true, .. }
                                | Message::PreVote(_)
                                | Message::Vote(_)
                        );
                        self.vote_messages +=
                            usize::from(is_vote_message && self.stalled == Some(to));
                        queue.insert(0, (other.id, Input::Receive { from: member(to), message }));
                    }
                    Effect::Write { sequence, .. } if self.stalled == Some(to) => {
                        self.unsynced.push(sequence);
                    }
                    Effect::Write { sequence, .. } => {
                        queue.insert(0, (to, Input::Synced(sequence)))
                    }
                    _ => {}
                }
            }
        }
    }

    fn tick(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK_MS {
            self.now_ms += TICK_MS;
            (1..=3).for_each(|id| self.handle_input(id, Input::Tick));
        }
    }

    /// Stalls a member's disk and proposes a batch, so that the disk has a pending write.
    fn stall(&mut self, id: u64) {
        self.stalled = Some(id);
        self.handle_input(1, Input::Propose(vec![b"one".to_vec()]));
    }

    fn end_stall(&mut self) {
        let id = self.stalled.take().expect("a disk is stalled");
        let last = self.unsynced.pop().expect("a write is pending");
        self.handle_input(id, Input::Synced(last));
    }

    fn leader(&self) -> Option<u64> {
        let leads = |id: &u64| self.node(*id).role() == Role::Leader;
        (1..=3).filter(leads).max_by_key(|id| self.node(*id).term())
    }
}

#[test]
fn a_disk_is_stalled_only_while_a_write_is_unsynced_beyond_the_limit() {
    let mut cluster = ThreeVoters::led_by_member_1();
    cluster.stall(1);
    cluster.tick(DISK_STALL_MS - TICK_MS);
    assert!(!cluster.node(1).is_disk_stalled());
    cluster.end_stall();
    cluster.stall(1);
    cluster.tick(DISK_STALL_MS - TICK_MS);
    assert!(!cluster.node(1).is_disk_stalled(), "the age of a synced write is still counted");
    cluster.tick(3 * TICK_MS);
    assert!(cluster.node(1).is_disk_stalled() && cluster.node(1).should_transfer_leadership());
    cluster.end_stall();
    assert!(!cluster.node(1).is_disk_stalled());
}

#[test]
fn a_paused_process_does_not_report_a_stalled_disk() {
    let mut cluster = ThreeVoters::led_by_member_1();
    cluster.stall(1);
    cluster.now_ms += 10 * DISK_STALL_MS;
    cluster.handle_input(1, Input::Tick);
    assert!(!cluster.node(1).is_disk_stalled());
}

#[test]
fn a_leader_with_a_stalled_disk_commits_and_steps_down() {
    let mut cluster = ThreeVoters::led_by_member_1();
    cluster.stall(1);
    let last = cluster.node(1).last_index();
    cluster.tick(DISK_STALL_MS + DISK_STEP_DOWN_MS + ELECTION_MIN_MS + 2 * ELECTION_SPREAD_MS);
    assert!(
        cluster.node(1).commit_index() >= last,
        "the two others are a majority and must commit"
    );
    let leader = cluster.leader();
    assert!(matches!(leader, Some(2 | 3)), "{leader:?} leads");
    assert_eq!(cluster.vote_messages, 0, "the stalled member took part in an election");
    cluster.end_stall();
    cluster.tick(2 * ELECTION_MIN_MS);
    assert_eq!(cluster.leader(), leader, "a disk that recovers must not depose the leader");
    assert_eq!(cluster.node(1).role(), Role::Follower);
    assert_eq!(cluster.node(1).commit_index(), cluster.node(leader.unwrap()).commit_index());
}

#[test]
fn a_leader_with_a_stalled_disk_transfers_leadership_at_once() {
    let mut cluster = ThreeVoters::led_by_member_1();
    cluster.stall(1);
    cluster.tick(DISK_STALL_MS + 2 * TICK_MS);
    assert!(cluster.node(1).should_transfer_leadership());
    cluster.handle_input(1, Input::TransferLeadership(Vec::new()));
    assert!(matches!(cluster.leader(), Some(2 | 3)));
    assert_eq!(cluster.node(1).role(), Role::Follower);
}

#[test]
fn a_lost_leadership_transfer_ends_in_an_election() {
    let mut cluster = ThreeVoters::led_by_member_1();
    cluster.stall(1);
    cluster.tick(DISK_STALL_MS + 2 * TICK_MS);
    let _lost = cluster.nodes[0].handle(cluster.now_ms, Input::TransferLeadership(Vec::new()));
    cluster.end_stall();
    cluster.tick(DISK_STEP_DOWN_MS + ELECTION_MIN_MS + 2 * ELECTION_SPREAD_MS);
    let leader = cluster.leader().expect("there is a leader");
    assert!(
        cluster.node(leader).lease_until_ms() > cluster.now_ms,
        "no leader has a lease: the former one relinquished its own for the term"
    );
}

#[test]
fn a_follower_with_a_stalled_disk_neither_votes_nor_campaigns() {
    let mut cluster = ThreeVoters::led_by_member_1();
    cluster.stall(3);
    cluster.tick(DISK_STALL_MS + 2 * TICK_MS);
    assert!(cluster.node(3).is_disk_stalled());
    assert_eq!(
        cluster.leader(),
        Some(1),
        "member 1 no longer leads although only the disk of member 3 is stalled"
    );
    let (term, last) = (cluster.node(3).term() + 5, cluster.node(3).last_index() + 5);
    for leadership_transfer in [false, true] {
        let request = VoteRequest {
            term,
            last_index: last,
            last_term: term,
            leadership_transfer,
            leaderless: false,
        };
        for message in [Message::PreVote(request.clone()), Message::Vote(request.clone())] {
            let from = member(2);
            let effects = cluster.nodes[2].handle(cluster.now_ms, Input::Receive { from, message });
            let is_grant = |effect: &&Effect| {
                matches!(
                    effect,
                    Effect::Send { message: Message::PreVoteResponse { granted: true, .. }, .. }
                        | Effect::Write {
                            write: Write::HardState(HardState { voted_for: Some(_), .. }),
                            ..
                        }
                )
            };
            assert!(
                effects.iter().find(is_grant).is_none(),
                "member 3 granted a vote: {effects:?}"
            );
        }
    }
    for _ in 0..2 * ELECTION_MIN_MS / TICK_MS {
        cluster.now_ms += TICK_MS;
        let effects = cluster.nodes[2].handle(cluster.now_ms, Input::Tick);
        assert!(effects.is_empty(), "member 3 campaigns: {effects:?}");
    }
}

#[test]
fn a_follower_with_a_stalled_disk_ignores_a_leadership_transfer() {
    let mut cluster = ThreeVoters::led_by_member_1();
    cluster.stall(3);
    cluster.tick(DISK_STALL_MS + 2 * TICK_MS);
    let term = cluster.node(1).term();
    let request = TimeoutNow { term, sent_ms: cluster.now_ms, handover_state: Vec::new() };
    cluster
        .handle_input(3, Input::Receive { from: member(1), message: Message::TimeoutNow(request) });
    assert_eq!((cluster.node(3).role(), cluster.node(3).term()), (Role::Follower, term));
    assert_eq!(cluster.vote_messages, 0, "member 3 campaigned");
}

#[test]
fn a_leader_with_a_stalled_disk_stays_while_no_follower_responds() {
    let mut cluster = ThreeVoters::led_by_member_1();
    cluster.stall(1);
    for _ in 0..(DISK_STALL_MS + 2 * TICK_MS) / TICK_MS {
        cluster.now_ms += TICK_MS;
        let _lost = cluster.nodes[0].handle(cluster.now_ms, Input::Tick);
    }
    assert!(cluster.node(1).is_disk_stalled() && !cluster.node(1).should_transfer_leadership());
}

#[test]
fn a_follower_with_a_stalled_disk_retains_a_bounded_amount_in_memory() {
    const ENTRY_BYTES: usize = 4 * 1024;
    let mut cluster = ThreeVoters::led_by_member_1();
    cluster.stall(3);
    for _ in 0..2_000 {
        cluster.handle_input(1, Input::Propose(vec![vec![7; ENTRY_BYTES]]));
        cluster.tick(2 * HEARTBEAT_MS);
    }
    let unsynced_bytes = cluster.node(3).log().bytes_after(1);
    assert!(unsynced_bytes <= FOLLOWER_IN_FLIGHT_BYTES, "{unsynced_bytes} bytes of entries");
    assert!(cluster.node(1).commit_index() > 2_000, "the others do not continue to commit");
    cluster.end_stall();
    let max_entries = FOLLOWER_IN_FLIGHT_BYTES as usize / ENTRY_BYTES;
    assert!(
        cluster.direct_messages <= 2 * max_entries,
        "{} responses were retained",
        cluster.direct_messages
    );
    cluster.tick(2 * ELECTION_MIN_MS);
    assert_eq!(
        cluster.node(3).commit_index(),
        cluster.node(1).commit_index(),
        "member 3 did not catch up"
    );
}
