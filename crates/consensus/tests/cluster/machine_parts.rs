//! A member's application state and durable state, and the sizes of frames and writes.

use postbarrow_consensus::*;

const FRAME_HEAD_BYTES: u64 = 100;
const STATE_HEAD_BYTES: usize = 32;

/// The speed of a member's links and disk.
#[derive(Clone, Copy)]
pub struct Speed {
    /// Bytes per second on each link.
    pub link: u64,
    /// Fixed time of each sync, in microseconds.
    pub sync_us: u64,
    /// Bytes per second that a sync writes, in addition to its fixed time.
    pub disk: u64,
}

pub const FAST: Speed = Speed { link: 4_625_000, sync_us: 1_000, disk: 100_000_000 };
/// A link with a tenth of the speed of `FAST` (3.7 Mbit/s), and a disk with a thirtieth.
pub const SLOW: Speed = Speed { link: 462_500, sync_us: 30_000, disk: 3_300_000 };

/// The application's state: a digest of all batches up to an index.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct Applied {
    pub index: u64,
    pub digest: u64,
}

impl Applied {
    /// Adds a batch to the digest.
    pub fn apply_batch(&mut self, bytes: &[u8]) {
        for byte in &bytes[..8.min(bytes.len())] {
            self.digest = (self.digest ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
        }
    }

    /// Encodes the state in at least `size_bytes` bytes. Those after the head depend on the index,
    /// the digest and the member, so that `decode` detects a mixture of snapshots.
    pub fn encode(&self, id: u64, size_bytes: usize) -> Vec<u8> {
        let mut state: Vec<u8> =
            [self.index, self.digest, id, 0].iter().flat_map(|word| word.to_le_bytes()).collect();
        let mut fill = self.digest ^ (id << 32) ^ self.index | 1;
        while state.len() < size_bytes {
            fill = fill.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            state.extend(fill.to_le_bytes());
        }
        state
    }

    /// Decodes a state, the initial one from no bytes. Panics unless every byte is as `encode`
    /// wrote it.
    pub fn decode(state: &[u8]) -> Applied {
        if state.is_empty() {
            return Applied::default();
        }
        let word_at = |at: usize| u64::from_le_bytes(state[at * 8..at * 8 + 8].try_into().unwrap());
        let applied = Applied { index: word_at(0), digest: word_at(1) };
        assert!(state.len() >= STATE_HEAD_BYTES);
        assert!(
            applied.encode(word_at(2), state.len()) == state,
            "a mixture of snapshots was installed"
        );
        applied
    }
}

/// Returns the size of a message's frame, in bytes.
pub fn size_bytes(message: &Message) -> u64 {
    FRAME_HEAD_BYTES
        + match message {
            Message::Append(append) => {
                append.entries.iter().map(|entry| entry.size_bytes() as u64).sum()
            }
            Message::Snapshot(chunk) => chunk.bytes.len() as u64,
            _ => 0,
        }
}

/// Returns the size of a write on the disk, in bytes.
pub fn write_bytes(write: &Write) -> u64 {
    let entry_bytes =
        |entries: &[Entry]| entries.iter().map(|entry| entry.size_bytes() as u64).sum::<u64>();
    match write {
        Write::HardState(_) | Write::Truncate { .. } => FRAME_HEAD_BYTES,
        Write::Append(entries) => entry_bytes(entries),
        Write::Slot { snapshot, entries, .. } => snapshot.state.len() as u64 + entry_bytes(entries),
    }
}

pub fn apply_write(durable: &mut RecoveredState, write: Write) {
    match write {
        Write::HardState(hard) => (durable.term, durable.voted_for) = (hard.term, hard.voted_for),
        Write::Append(entries) => durable.entries.extend(entries),
        Write::Truncate { from } => durable.entries.retain(|entry| entry.index < from),
        Write::Slot { snapshot, hard, entries } => {
            *durable = RecoveredState {
                term: hard.term,
                voted_for: hard.voted_for,
                snapshot: Some(snapshot),
                entries,
            }
        }
    }
}
