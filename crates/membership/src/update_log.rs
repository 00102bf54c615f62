//! The newest routing updates, bounded in number and size.

use postbarrow_constants::nodes::{UPDATE_FRAME_BYTES, UPDATES_RETAINED, UPDATES_RETAINED_BYTES};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// The routing updates in one batch of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpdateEntry {
    /// Log offset of the previous batch that contains routing updates; 0 if there is none.
    pub previous_offset: u64,
    /// Log offset of the batch.
    pub offset: u64,
    /// The encoded batch, reduced to its routing updates.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// Consecutive entries without a gap, the newest last.
#[derive(Default)]
pub(crate) struct UpdateLog {
    entries: VecDeque<Arc<UpdateEntry>>,
    retained_bytes: usize,
}

impl UpdateLog {
    /// Appends an entry, and removes the oldest beyond the bounds in number and size. If the entry
    /// doesn't follow the last one, all earlier entries are removed first.
    pub fn push(&mut self, entry: UpdateEntry) {
        if self.entries.back().is_some_and(|last| last.offset != entry.previous_offset) {
            self.clear();
        }
        self.retained_bytes += entry.bytes.len();
        self.entries.push_back(Arc::new(entry));
        while self.entries.len() > UPDATES_RETAINED || self.retained_bytes > UPDATES_RETAINED_BYTES
        {
            let Some(removed) = self.entries.pop_front() else { return };
            self.retained_bytes -= removed.bytes.len();
        }
    }

    pub fn clear(&mut self) {
        self.entries.clear();
        self.retained_bytes = 0;
    }

    pub fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// Returns all entries after this offset, grouped into frames of at most `UPDATE_FRAME_BYTES`;
    /// a larger entry has a frame of its own. Returns `None` if no retained entry directly follows
    /// the offset.
    pub fn frames_after(&self, offset: u64) -> Option<Vec<Vec<UpdateEntry>>> {
        let first = self.entries.iter().position(|entry| entry.previous_offset == offset)?;
        let mut frames = Vec::new();
        let mut frame = Vec::new();
        let mut size_bytes = 0;
        for entry in self.entries.iter().skip(first) {
            if !frame.is_empty() && size_bytes + entry.bytes.len() > UPDATE_FRAME_BYTES {
                frames.push(std::mem::take(&mut frame));
                size_bytes = 0;
            }
            size_bytes += entry.bytes.len();
            frame.push(entry.as_ref().clone());
        }
        frames.push(frame);
        Some(frames)
    }
}
