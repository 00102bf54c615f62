//! A member acknowledges a snapshot or an entry only once it is on the member's disk.

mod fixture;

use fixture::member;
use postbarrow_consensus::*;

fn sent_count(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Send { .. })).count()
}

#[test]
fn a_repeated_snapshot_chunk_is_acknowledged_only_after_its_slot_is_synced() {
    let mut learner = Consensus::new(9, RecoveredState::default(), 7, 1_000);
    let chunk = SnapshotChunk {
        term: 1,
        index: 5,
        snapshot_term: 1,
        members: (1..=3).map(member).collect(),
        offset: 0,
        total_bytes: 2,
        bytes: vec![1, 2],
        sent_ms: 0,
        checksum: crc32fast::hash(&[1, 2]),
    };
    let mut write_sequence = 0;
    for delay_ms in [0, 500] {
        let message = Message::Snapshot(chunk.clone());
        let effects = learner.handle(1_000 + delay_ms, Input::Receive { from: member(1), message });
        assert_eq!(sent_count(&effects), 0, "the chunk is acknowledged before the sync");
        for effect in effects {
            if let Effect::Write { sequence, .. } = effect {
                write_sequence = sequence;
            }
        }
    }
    let effects = learner.handle(1_600, Input::Synced(write_sequence));
    assert_eq!(sent_count(&effects), 2, "both chunks must be acknowledged after the sync");
}

#[test]
fn entries_are_acknowledged_only_after_they_are_synced() {
    let mut learner = Consensus::new(9, RecoveredState::default(), 7, 1_000);
    let bootstrap_snapshot = SnapshotChunk {
        term: 1,
        index: 1,
        snapshot_term: 1,
        members: (1..=3).map(member).collect(),
        offset: 0,
        total_bytes: 0,
        bytes: Vec::new(),
        sent_ms: 0,
        checksum: crc32fast::hash(&[]),
    };
    let message = Message::Snapshot(bootstrap_snapshot);
    let installed = learner.handle(1_000, Input::Receive { from: member(1), message });
    let write_sequence = installed.iter().filter_map(|effect| match effect {
        Effect::Write { sequence, .. } => Some(*sequence),
        _ => None,
    });
    let write_sequence = write_sequence.max().expect("a snapshot is written");
    learner.handle(1_001, Input::Synced(write_sequence));
    let entry = Entry { term: 1, index: 2, payload: Payload::Batch(vec![7]) };
    for entries in [vec![entry], Vec::new()] {
        let prev = if entries.is_empty() { 2 } else { 1 };
        let append = AppendRequest {
            term: 1,
            prev_index: prev,
            prev_term: 1,
            entries,
            commit_index: 1,
            sent_ms: 0,
        };
        let message = Message::Append(append);
        let effects = learner.handle(1_010, Input::Receive { from: member(1), message });
        let response_count = sent_count(&effects);
        assert_eq!(response_count, 0, "an unsynced entry is acknowledged: {effects:?}");
    }
}
