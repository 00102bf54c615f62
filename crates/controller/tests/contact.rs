//! Whether a node is in contact with a leader, which the client that forwards requests reads.

mod cluster;
mod harness;
use cluster::Cluster;
use harness::*;
use postbarrow_consensus::{AppendRequest, Message as LogMessage, RecoveredState};
use postbarrow_constants::consensus::*;
use postbarrow_controller::Contact;
use postbarrow_messages::Message;

const TICKS_IN_20_S: u64 = 1_000;

fn contact(harness: &Harness) -> Contact {
    harness.node.contact(harness.now_ms)
}

/// Returns a follower of member 2 in term 3.
fn follower() -> Harness {
    let mut harness = Harness::new(recovered(&[1, 2, 3], Vec::new(), 3));
    receive_heartbeat(&mut harness);
    harness
}

fn receive_heartbeat(harness: &mut Harness) {
    let append = AppendRequest {
        term: 3,
        prev_index: 0,
        prev_term: 0,
        entries: Vec::new(),
        commit_index: 0,
        sent_ms: harness.now_ms,
    };
    let message = LogMessage::Append(append);
    harness.receive(Message::Consensus { from: member(2), to: 1, message });
}

#[test]
fn a_partitioned_follower_reports_no_leader_since_its_last_contact() {
    let mut harness = follower();
    let contact_ms = harness.now_ms;
    assert_eq!(contact(&harness), Contact::Leader(member(2).address));
    for _ in 0..(ELECTION_MIN_MS + ELECTION_SPREAD_MS) / 20 {
        harness.tick(20);
    }
    assert_eq!(contact(&harness), Contact::NoLeader { since_ms: contact_ms });
    (0..TICKS_IN_20_S).for_each(|_| harness.tick(20));
    assert_eq!(contact(&harness), Contact::NoLeader { since_ms: contact_ms });
    assert_eq!(harness.node.consensus().term(), 3, "pre-vote does not raise the term");
    receive_heartbeat(&mut harness);
    assert_eq!(contact(&harness), Contact::Leader(member(2).address));
}

#[test]
fn a_follower_that_was_suspended_does_not_count_that_time_as_lost_contact() {
    let mut harness = follower();
    harness.tick(20_000);
    let Contact::NoLeader { since_ms } = contact(&harness) else {
        panic!("the node still has a leader")
    };
    assert!(
        harness.now_ms < since_ms + CONTACT_LOST_MS,
        "suspended time was counted, though messages may be queued"
    );
    (0..CONTACT_LOST_MS / 20).for_each(|_| harness.tick(20));
    assert_eq!(contact(&harness), Contact::NoLeader { since_ms });
}

#[test]
fn a_leader_is_its_own_contact_only_while_its_lease_lasts() {
    let mut cluster = Cluster::serving();
    assert_eq!(contact(&cluster.harness), Contact::Leader(member(1).address));
    let partition_ms = cluster.harness.now_ms;
    let mut silent = Vec::new();
    for _ in 0..TICKS_IN_20_S {
        cluster.harness.tick(20);
        cluster.harness.sync();
        let is_own_contact = contact(&cluster.harness) == Contact::Leader(member(1).address);
        assert_eq!(is_own_contact, cluster.harness.node.has_lease(cluster.harness.now_ms));
        if let Contact::NoLeader { since_ms } = contact(&cluster.harness) {
            silent.push(since_ms);
        }
    }
    assert!(silent.iter().all(|since_ms| *since_ms <= partition_ms + LEADER_LEASE_MS));
    assert!(
        silent.windows(2).all(|pair| pair[0] == pair[1]),
        "the start of the loss changed when the leader was deposed"
    );
}

#[test]
fn a_member_restarted_in_a_partition_reports_no_leader_since_its_start() {
    let mut harness = Harness::new(recovered(&[1, 2, 3], Vec::new(), 3));
    let start_ms = harness.now_ms;
    (0..100).for_each(|_| harness.tick(20));
    assert_eq!(contact(&harness), Contact::NoLeader { since_ms: start_ms });
}

#[test]
fn a_node_without_membership_has_no_contact() {
    let mut harness = Harness::new(RecoveredState::default());
    (0..100).for_each(|_| harness.tick(20));
    assert_eq!(contact(&harness), Contact::NotMember);
}
