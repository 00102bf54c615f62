//! The content of a member's disk: changes, which are numbers, in the log's entries and in the
//! snapshot's state.

use postbarrow_consensus::*;
use std::collections::BTreeSet;

/// Bytes that a state has after the numbers, for 2,000 routes of 150 bytes.
const STATE_BYTES: usize = 2_000 * 150;

/// Returns the number of the change in an entry; `None` unless the entry is a batch.
pub fn change_number(entry: &Entry) -> Option<u64> {
    match &entry.payload {
        Payload::Batch(bytes) => Some(u64::from_le_bytes(bytes[..8].try_into().unwrap())),
        _ => None,
    }
}

/// Applies a synced write to a disk.
pub fn apply_write(disk: &mut RecoveredState, write: Write) {
    match write {
        Write::HardState(hard) => (disk.term, disk.voted_for) = (hard.term, hard.voted_for),
        Write::Append(entries) => disk.entries.extend(entries),
        Write::Truncate { from } => disk.entries.retain(|entry| entry.index < from),
        Write::Slot { snapshot, hard, entries } => {
            (disk.term, disk.voted_for) = (hard.term, hard.voted_for);
            disk.snapshot = Some(snapshot);
            disk.entries = entries;
        }
    }
}

/// Encodes a state: the numbers of the applied changes, then as many bytes as the routes take.
pub fn encode(applied: &BTreeSet<u64>) -> Vec<u8> {
    let mut state = (applied.len() as u64).to_le_bytes().to_vec();
    applied.iter().for_each(|number| state.extend(number.to_le_bytes()));
    state.resize(state.len() + STATE_BYTES, 0);
    state
}

/// Returns the numbers of the changes in a state.
pub fn decode(state: &[u8]) -> BTreeSet<u64> {
    let numbers: Vec<u64> =
        state.chunks_exact(8).map(|chunk| u64::from_le_bytes(chunk.try_into().unwrap())).collect();
    let Some((count, rest)) = numbers.split_first() else { return BTreeSet::new() };
    rest.iter().take(*count as usize).copied().collect()
}
