//! A member whose disk is stalled: no vote, no candidacy, and no lead for long.

use postbarrow_consensus::*;
use postbarrow_constants::consensus::*;
use std::sync::Arc;

fn member(id: u64) -> Member {
    Member { id, address: format!("10.0.0.{id}:1").parse().unwrap() }
}

/// Three voters whose frames arrive at once; a stalled one's writes wait.
struct Three {
    nodes: Vec<Consensus>,
    now_ms: u64,
    stalled: Option<u64>,
    waiting: Vec<u64>,
    /// The stalled one's own words to other members since its disk stalled.
    votes: usize,
    /// Messages that the newest input led to by itself.
    messages: usize,
}

impl Three {
    fn led_by_one() -> Three {
        let members: Vec<Member> = (1..=3).map(member).collect();
        let snapshot = Arc::new(Snapshot { index: 0, term: 0, members, state: Vec::new() });
        let recovered = RecoveredState { snapshot: Some(snapshot), ..RecoveredState::default() };
        let made = |id| Consensus::new(id, recovered.clone(), 7 + id, 1_000);
        let nodes = (1..=3).map(made).collect();
        let mut three =
            Three { nodes, now_ms: 10_000, stalled: None, waiting: vec![], votes: 0, messages: 0 };
        three.give(1, Input::Tick);
        three.tick(100);
        assert_eq!(three.node(1).role(), Role::Leader);
        three
    }

    fn node(&self, id: u64) -> &Consensus {
        &self.nodes[id as usize - 1]
    }

    fn give(&mut self, to: u64, input: Input) {
        let mut queue = vec![(to, input)];
        let mut is_first = true;
        while let Some((to, input)) = queue.pop() {
            let effects = self.nodes[to as usize - 1].handle(self.now_ms, input);
            if std::mem::take(&mut is_first) {
                let is_message = |effect: &&Effect| matches!(effect, Effect::Send { .. });
                self.messages = effects.iter().filter(is_message).count();
            }
            for effect in effects {
                match effect {
                    Effect::Send { to: other, message } => {
                        let grants = matches!(
                            message,
                            Message::PreVoteResponse { granted: true, .. }
                                | Message::VoteResponse { granted: true, .. }
                                | Message::PreVote(_)
                                | Message::Vote(_)
                        );
                        self.votes += usize::from(grants && self.stalled == Some(to));
                        queue.insert(0, (other.id, Input::Receive { from: member(to), message }));
                    }
                    Effect::Write { sequence, .. } if self.stalled == Some(to) => {
                        self.waiting.push(sequence);
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
            (1..=3).for_each(|id| self.give(id, Input::Tick));
        }
    }

    /// The disk stalls, and there is something to write on it.
    fn stall(&mut self, id: u64) {
        self.stalled = Some(id);
        self.give(1, Input::Propose(vec![b"one".to_vec()]));
    }

    fn heal(&mut self) {
        let id = self.stalled.take().expect("a disk is stalled");
        let last = self.waiting.pop().expect("a write waits");
        self.give(id, Input::Synced(last));
    }

    fn leader(&self) -> Option<u64> {
        let leads = |id: &u64| self.node(*id).role() == Role::Leader;
        (1..=3).filter(leads).max_by_key(|id| self.node(*id).term())
    }
}

#[test]
fn a_slow_disk_is_not_a_stalled_one() {
    let mut three = Three::led_by_one();
    three.stall(1);
    three.tick(DISK_STALL_MS - TICK_MS);
    assert!(!three.node(1).is_disk_stalled());
    three.heal();
    three.stall(1);
    three.tick(DISK_STALL_MS - TICK_MS);
    assert!(!three.node(1).is_disk_stalled(), "the age of a synced write counts no longer");
    three.tick(3 * TICK_MS);
    assert!(three.node(1).is_disk_stalled() && three.node(1).should_yield());
    three.heal();
    assert!(!three.node(1).is_disk_stalled());
}

#[test]
fn a_process_that_stood_still_does_not_blame_its_disk() {
    let mut three = Three::led_by_one();
    three.stall(1);
    three.now_ms += 10 * DISK_STALL_MS;
    three.give(1, Input::Tick);
    assert!(!three.node(1).is_disk_stalled());
}

#[test]
fn a_leader_whose_disk_stalls_commits_and_steps_down_for_another() {
    let mut three = Three::led_by_one();
    three.stall(1);
    let last = three.node(1).last_index();
    three.tick(DISK_STALL_MS + DISK_STEP_DOWN_MS + ELECTION_MIN_MS + 2 * ELECTION_SPREAD_MS);
    assert!(three.node(1).commit_index() >= last, "the two others are a majority");
    let leader = three.leader();
    assert!(matches!(leader, Some(2 | 3)), "{leader:?} leads");
    assert_eq!(three.votes, 0, "the stalled one took part in an election");
    three.heal();
    three.tick(2 * ELECTION_MIN_MS);
    assert_eq!(three.leader(), leader, "a disk that came back deposes nobody");
    assert_eq!(three.node(1).role(), Role::Follower);
    assert_eq!(three.node(1).commit_index(), three.node(leader.unwrap()).commit_index());
}

#[test]
fn a_handover_from_a_stalled_disk_needs_no_time_to_pass() {
    let mut three = Three::led_by_one();
    three.stall(1);
    three.tick(DISK_STALL_MS + 2 * TICK_MS);
    assert!(three.node(1).should_yield());
    three.give(1, Input::TransferLeadership(Vec::new()));
    assert!(matches!(three.leader(), Some(2 | 3)));
    assert_eq!(three.node(1).role(), Role::Follower);
}

#[test]
fn a_handover_that_leads_nowhere_ends_in_an_election() {
    let mut three = Three::led_by_one();
    three.stall(1);
    three.tick(DISK_STALL_MS + 2 * TICK_MS);
    let _lost = three.nodes[0].handle(three.now_ms, Input::TransferLeadership(Vec::new()));
    three.heal();
    three.tick(DISK_STEP_DOWN_MS + ELECTION_MIN_MS + 2 * ELECTION_SPREAD_MS);
    let leader = three.leader().expect("somebody leads");
    assert!(three.node(leader).lease_until() > three.now_ms, "its hold was given up for good");
}

#[test]
fn a_follower_whose_disk_is_stalled_neither_votes_nor_stands() {
    let mut three = Three::led_by_one();
    three.stall(3);
    three.tick(DISK_STALL_MS + 2 * TICK_MS);
    assert!(three.node(3).is_disk_stalled());
    assert_eq!(three.leader(), Some(1), "it costs nobody else anything");
    let (term, last) = (three.node(3).term() + 5, three.node(3).last_index() + 5);
    for handed in [false, true] {
        let ask = VoteRequest {
            term,
            last_index: last,
            last_term: term,
            leadership_transfer: handed,
            leaderless: false,
        };
        for message in [Message::PreVote(ask.clone()), Message::Vote(ask.clone())] {
            let from = member(2);
            let effects = three.nodes[2].handle(three.now_ms, Input::Receive { from, message });
            let grants = |effect: &&Effect| {
                matches!(
                    effect,
                    Effect::Send { message: Message::PreVoteResponse { granted: true, .. }, .. }
                        | Effect::Write {
                            write: Write::HardState(HardState { voted_for: Some(_), .. }),
                            ..
                        }
                )
            };
            assert!(effects.iter().find(grants).is_none(), "{effects:?}");
        }
    }
    for _ in 0..2 * ELECTION_MIN_MS / TICK_MS {
        three.now_ms += TICK_MS;
        let effects = three.nodes[2].handle(three.now_ms, Input::Tick);
        assert!(effects.is_empty(), "it stands for election: {effects:?}");
    }
}

#[test]
fn a_follower_whose_disk_is_stalled_takes_no_lead_that_it_is_handed() {
    let mut three = Three::led_by_one();
    three.stall(3);
    three.tick(DISK_STALL_MS + 2 * TICK_MS);
    let term = three.node(1).term();
    let ask = TimeoutNow { term, sent_ms: three.now_ms, handover_state: Vec::new() };
    three.give(3, Input::Receive { from: member(1), message: Message::TimeoutNow(ask) });
    assert_eq!((three.node(3).role(), three.node(3).term()), (Role::Follower, term));
    assert_eq!(three.votes, 0, "it stood for election");
}

#[test]
fn nobody_steps_down_for_followers_that_are_silent() {
    let mut three = Three::led_by_one();
    three.stall(1);
    for _ in 0..(DISK_STALL_MS + 2 * TICK_MS) / TICK_MS {
        three.now_ms += TICK_MS;
        let _lost = three.nodes[0].handle(three.now_ms, Input::Tick);
    }
    assert!(three.node(1).is_disk_stalled() && !three.node(1).should_yield());
}

#[test]
fn a_follower_whose_disk_does_not_answer_keeps_a_bounded_amount_in_memory() {
    const ENTRY_BYTES: usize = 4 * 1024;
    let mut three = Three::led_by_one();
    three.stall(3);
    for _ in 0..2_000 {
        three.give(1, Input::Propose(vec![vec![7; ENTRY_BYTES]]));
        three.tick(2 * HEARTBEAT_MS);
    }
    let unsynced_bytes = three.node(3).log().bytes_after(1);
    assert!(unsynced_bytes <= FOLLOWER_IN_FLIGHT_BYTES, "{unsynced_bytes} bytes of entries");
    assert!(three.node(1).commit_index() > 2_000, "the others go on");
    three.heal();
    let most = FOLLOWER_IN_FLIGHT_BYTES as usize / ENTRY_BYTES;
    assert!(three.messages <= 2 * most, "{} responses were kept", three.messages);
    three.tick(2 * ELECTION_MIN_MS);
    assert_eq!(three.node(3).commit_index(), three.node(1).commit_index(), "it caught up");
}
