//! What a node knows of the leader, for whoever hands questions on from it.

mod bench;
mod trio;
use bench::*;
use postbarrow_consensus::{AppendRequest, Message as LogMessage, RecoveredState};
use postbarrow_constants::consensus::*;
use postbarrow_controller::Contact;
use postbarrow_messages::Message;
use trio::Trio;

const TICKS_OF_20_S: u64 = 1_000;

fn contact(bench: &Bench) -> Contact {
    bench.node.contact(bench.now_ms)
}

/// A follower that hears member 2 lead term 3.
fn follower() -> Bench {
    let mut bench = Bench::new(recovered(&[1, 2, 3], Vec::new(), 3));
    hear(&mut bench);
    bench
}

fn hear(bench: &mut Bench) {
    let append = AppendRequest {
        term: 3,
        prev_index: 0,
        prev_term: 0,
        entries: Vec::new(),
        commit: 0,
        sent_ms: bench.now_ms,
    };
    let message = LogMessage::Append(append);
    bench.message(Message::Consensus { from: member(2), to: 1, message });
}

#[test]
fn a_follower_that_is_cut_off_drops_its_leader_and_tells_since_when() {
    let mut bench = follower();
    let heard_ms = bench.now_ms;
    assert_eq!(contact(&bench), Contact::Leader(member(2).address));
    for _ in 0..(ELECTION_MIN_MS + ELECTION_SPREAD_MS) / 20 {
        bench.tick(20);
    }
    assert_eq!(contact(&bench), Contact::Silent { since_ms: heard_ms });
    (0..TICKS_OF_20_S).for_each(|_| bench.tick(20));
    assert_eq!(contact(&bench), Contact::Silent { since_ms: heard_ms });
    assert_eq!(bench.node.consensus().term(), 3, "it asks before it raises the term");
    hear(&mut bench);
    assert_eq!(contact(&bench), Contact::Leader(member(2).address));
}

#[test]
fn a_follower_that_stood_still_does_not_count_that_time_as_silence() {
    let mut bench = follower();
    bench.tick(20_000);
    let Contact::Silent { since_ms } = contact(&bench) else { panic!("it has no leader") };
    assert!(bench.now_ms < since_ms + CONTACT_LOST_MS, "its mail may be waiting");
    (0..CONTACT_LOST_MS / 20).for_each(|_| bench.tick(20));
    assert_eq!(contact(&bench), Contact::Silent { since_ms });
}

#[test]
fn a_leader_is_its_own_contact_only_while_its_hold_lasts() {
    let mut trio = Trio::serving();
    assert_eq!(contact(&trio.bench), Contact::Leader(member(1).address));
    let cut_ms = trio.bench.now_ms;
    let mut silent = Vec::new();
    for _ in 0..TICKS_OF_20_S {
        trio.bench.tick(20);
        trio.bench.sync();
        let own = contact(&trio.bench) == Contact::Leader(member(1).address);
        assert_eq!(own, trio.bench.node.has_lease(trio.bench.now_ms));
        if let Contact::Silent { since_ms } = contact(&trio.bench) {
            silent.push(since_ms);
        }
    }
    assert!(silent.iter().all(|since_ms| *since_ms <= cut_ms + LEADER_LEASE_MS));
    assert!(silent.windows(2).all(|pair| pair[0] == pair[1]), "deposed or not: one silence");
}

#[test]
fn one_that_restarts_inside_a_cut_counts_from_its_start() {
    let mut bench = Bench::new(recovered(&[1, 2, 3], Vec::new(), 3));
    let start_ms = bench.now_ms;
    (0..100).for_each(|_| bench.tick(20));
    assert_eq!(contact(&bench), Contact::Silent { since_ms: start_ms });
}

#[test]
fn one_outside_the_log_is_told_of_no_leader_by_it() {
    let mut bench = Bench::new(RecoveredState::default());
    (0..100).for_each(|_| bench.tick(20));
    assert_eq!(contact(&bench), Contact::Outside);
}
