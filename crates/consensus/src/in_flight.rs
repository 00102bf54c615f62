//! Accounting of the entries in flight to one follower.

use postbarrow_constants::consensus::FOLLOWER_IN_FLIGHT_BYTES;
use std::collections::VecDeque;

/// Frames of entries that a follower has not confirmed, oldest first, and their total size.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct InFlight {
    frames: VecDeque<Frame>,
    size_bytes: u64,
}

/// One append with entries: the index of its last entry, and the size of all of them.
#[derive(Clone, Copy, Debug, Hash)]
struct Frame {
    last_index: u64,
    size_bytes: u64,
}

impl InFlight {
    /// Returns whether a frame of this size may be sent. A single frame always may, so that an
    /// entry of any size can be sent.
    pub fn has_capacity(&self, size_bytes: u64) -> bool {
        self.frames.is_empty() || self.size_bytes + size_bytes <= FOLLOWER_IN_FLIGHT_BYTES
    }

    /// Adds a frame whose last entry is at `last_index`.
    pub fn push(&mut self, last_index: u64, size_bytes: u64) {
        self.frames.push_back(Frame { last_index, size_bytes });
        self.size_bytes += size_bytes;
    }

    /// Removes the frames that the follower confirmed by having all entries up to `match_index`.
    pub fn confirm(&mut self, match_index: u64) {
        while let Some(frame) = self.frames.pop_front_if(|frame| frame.last_index <= match_index) {
            self.size_bytes -= frame.size_bytes;
        }
    }

    /// Removes all frames, which count as lost.
    pub fn clear(&mut self) {
        *self = InFlight::default();
    }

    /// Returns whether no frame is in flight.
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }
}
