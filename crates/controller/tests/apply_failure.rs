//! A member that can't apply a committed entry or a snapshot steps aside.
//!
//! Guards against a panic of the control loop, after which the process lives on without it, and
//! against a member that leads or answers with a state that lacks committed entries.

mod harness;
use harness::*;
use postbarrow_consensus::{
    AppendRequest, Entry, Message as LogMessage, Payload, RecoveredState, Role, Snapshot,
    SnapshotChunk,
};
use postbarrow_controller::{ApplyError, Contact};
use postbarrow_messages::*;
use postbarrow_state::{Call, Record};
use postbarrow_transactions::{BatchRecord, TransactionError, encode};
use std::sync::Arc;

/// The first byte of batches of a format that no release has.
const UNKNOWN_FORMAT: u8 = 200;

fn number(value: u64) -> Vec<u8> {
    encode(&[BatchRecord::Data(Record::Number { name: "n".into(), value })])
}

/// Returns a batch that ends a transaction outside one.
fn misplaced_end() -> Vec<u8> {
    encode::<Record>(&[BatchRecord::End])
}

fn entries(batches: Vec<Vec<u8>>) -> Vec<Entry> {
    let entry = |(position, bytes): (usize, Vec<u8>)| {
        let payload = Payload::Batch(bytes);
        Entry { term: 1, index: position as u64 + 1, payload }
    };
    batches.into_iter().enumerate().map(entry).collect()
}

/// Runs a member that was recovered from these entries, alone in its log, until all are committed.
fn run(entries: Vec<Entry>) -> Harness {
    let mut harness = Harness::new(recovered(&[1], entries, 1));
    for _ in 0..200 {
        harness.tick(20);
        harness.sync();
    }
    harness
}

fn check_stepped_aside(harness: &mut Harness, offset: u64) {
    let failure = harness.node.apply_failure().expect("the member applies the log");
    assert_eq!(failure.offset, offset);
    assert_eq!(harness.node.consensus().role(), Role::Follower);
    assert!(!harness.node.is_leading());
    assert_eq!(harness.state().numbers.get("n"), Some(&1), "the entries before are not applied");
    let call = Call::ReadNumber { name: "n".into() };
    harness.request(1, Request::Call { id: None, call });
    assert_eq!(harness.response(1), Some(&Response::NotController { controller: None }));
    assert!(matches!(harness.node.contact(harness.now_ms), Contact::NoLeader { .. }));
}

#[test]
fn a_member_steps_aside_at_a_batch_of_an_unknown_format_and_applies_nothing_after_it() {
    let mut harness = run(entries(vec![number(1), vec![UNKNOWN_FORMAT, 1], number(2)]));
    check_stepped_aside(&mut harness, 2);
    let cause = &harness.node.apply_failure().unwrap().cause;
    let unknown = TransactionError::UnknownFormat(Some(UNKNOWN_FORMAT));
    assert_eq!(*cause, ApplyError::Batch(unknown));
}

#[test]
fn a_member_steps_aside_at_a_misplaced_marker() {
    let mut harness = run(entries(vec![number(1), misplaced_end(), number(2)]));
    check_stepped_aside(&mut harness, 2);
}

#[test]
fn a_member_that_stepped_aside_does_so_again_after_a_restart_and_keeps_its_log() {
    let log = entries(vec![number(1), vec![UNKNOWN_FORMAT], number(2)]);
    let harness = run(log.clone());
    let mut all = log;
    all.extend(harness.entries.iter().cloned());
    let mut restarted = run(all);
    check_stepped_aside(&mut restarted, 2);
    assert!(restarted.node.consensus().last_index() >= 3);
}

/// Returns a follower that has committed these entries of another leader.
fn follower(batches: Vec<Vec<u8>>) -> Harness {
    let mut harness = Harness::new(recovered(&[1, 2, 3], Vec::new(), 0));
    let entries = entries(batches);
    let commit_index = entries.len() as u64;
    let append =
        AppendRequest { term: 1, prev_index: 0, prev_term: 0, entries, commit_index, sent_ms: 1 };
    receive(&mut harness, LogMessage::Append(append));
    harness
}

fn receive(harness: &mut Harness, message: LogMessage) {
    harness.receive(Message::Consensus { from: member(2), to: 1, message });
    harness.sync();
}

#[test]
fn a_follower_that_stepped_aside_forwards_to_the_leader_and_acknowledges_entries() {
    let mut harness = follower(vec![number(1), misplaced_end(), number(2)]);
    assert_eq!(harness.node.apply_failure().map(|failure| failure.offset), Some(2));
    assert_eq!(harness.node.contact(harness.now_ms), Contact::Leader(member(2).address));
    let acknowledged = harness.sent.iter().any(|message| match message {
        Message::Consensus { message: LogMessage::AppendResponse(response), .. } => {
            response.match_index == Some(3)
        }
        _ => false,
    });
    assert!(acknowledged, "the follower acknowledges no entry");
    for _ in 0..200 {
        harness.tick(20);
    }
    assert_eq!(harness.node.consensus().role(), Role::Follower, "the follower campaigns");
}

#[test]
fn a_follower_that_stepped_aside_applies_the_log_again_after_a_snapshot() {
    let mut leader = Harness::serving();
    let call = Call::Next { name: "n".into(), by: 7 };
    leader.request(1, Request::Call { id: None, call });
    leader.run_until_idle();
    leader.set_log_bound(1);
    leader.run_until_idle();
    let snapshot = leader.snapshot.expect("a snapshot was encoded");
    let mut harness = follower(vec![number(1), misplaced_end(), number(2)]);
    let index = snapshot.index + 10;
    let chunk = SnapshotChunk {
        term: 1,
        index,
        snapshot_term: 1,
        members: vec![member(1), member(2), member(3)],
        offset: 0,
        total_bytes: snapshot.state.len() as u64,
        checksum: crc32fast::hash(&snapshot.state),
        bytes: snapshot.state,
        sent_ms: 2,
    };
    receive(&mut harness, LogMessage::Snapshot(chunk));
    assert_eq!(harness.node.apply_failure(), None);
    assert_eq!(harness.state().numbers.get("n"), Some(&7));
}

#[test]
fn a_member_steps_aside_at_a_snapshot_that_it_cannot_decode() {
    let state = vec![UNKNOWN_FORMAT];
    let snapshot = Snapshot { index: 5, term: 1, members: vec![member(1)], state };
    let recovered = RecoveredState {
        term: 1,
        voted_for: None,
        snapshot: Some(Arc::new(snapshot)),
        entries: Vec::new(),
    };
    let mut harness = Harness::new(recovered);
    for _ in 0..200 {
        harness.tick(20);
        harness.sync();
    }
    assert_eq!(harness.node.apply_failure().map(|failure| failure.offset), Some(5));
    assert!(!harness.node.is_leading());
    assert_eq!(harness.node.consensus().role(), Role::Follower);
}
