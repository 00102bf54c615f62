//! Bytes under way to one follower.

use postbarrow_constants::consensus::FOLLOWER_IN_FLIGHT_BYTES;
use std::collections::VecDeque;

/// Frames of entries that a follower has not confirmed, oldest first.
#[derive(Clone, Debug, Default, Hash)]
pub struct InFlight {
    frames: VecDeque<Frame>,
    size_bytes: u64,
}

#[derive(Clone, Copy, Debug, Hash)]
struct Frame {
    last: u64,
    size_bytes: u64,
}

impl InFlight {
    /// Whether a frame of this size may go: one alone always may, so that any entry can be sent.
    pub fn has_room(&self, size_bytes: u64) -> bool {
        self.frames.is_empty() || self.size_bytes + size_bytes <= FOLLOWER_IN_FLIGHT_BYTES
    }

    /// Notes a frame whose newest entry is `last`.
    pub fn sent(&mut self, last: u64, size_bytes: u64) {
        self.frames.push_back(Frame { last, size_bytes });
        self.size_bytes += size_bytes;
    }

    /// The follower has all entries up to `matched`.
    pub fn confirmed(&mut self, matched: u64) {
        while let Some(frame) = self.frames.front().copied().filter(|one| one.last <= matched) {
            self.frames.pop_front();
            self.size_bytes -= frame.size_bytes;
        }
    }

    /// What was under way counts as lost.
    pub fn clear(&mut self) {
        *self = InFlight::default();
    }

    /// Whether every frame was confirmed.
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }
}
