//! Delays of frames and syncs by a slow link and a slow disk.

use crate::world::World;
use postbarrow_consensus::{Entry, Write};
use postbarrow_messages::{Envelope, to_frame};
use std::net::SocketAddr;

/// Returns the total size of log entries in bytes.
fn size_bytes(entries: &[Entry]) -> u64 {
    entries.iter().map(|entry| entry.size_bytes() as u64).sum()
}

impl World {
    /// Returns for how many microseconds a frame to `to` waits for a slow link and then occupies
    /// it; 0 on other links.
    pub(crate) fn link_wait_us(&mut self, to: SocketAddr, envelope: &Envelope) -> u64 {
        let Some(slow) = &mut self.slow_machine else { return 0 };
        let own = self.control[slow.at].address;
        if own != to && own != envelope.from {
            return 0;
        }
        let bytes = to_frame(envelope).map_or(0, |frame| frame.len() as u64);
        let link_free_us = slow.link_free_us.entry((envelope.from, to)).or_default();
        *link_free_us = self.now_us.max(*link_free_us) + bytes * 1_000_000 / slow.link_bytes;
        *link_free_us - self.now_us
    }

    /// Returns for how many microseconds a sync of control machine `at` takes, given its duration
    /// on an ordinary disk.
    pub(crate) fn sync_us(&self, at: usize, usual_us: u64) -> u64 {
        let Some(slow) = self.slow_machine.as_ref().filter(|slow| slow.at == at) else {
            return usual_us;
        };
        let bytes: u64 = self.control[at]
            .writes()
            .map(|write| match write {
                Write::Append(entries) => size_bytes(entries),
                Write::Slot { snapshot, entries, .. } => {
                    snapshot.state.len() as u64 + size_bytes(entries)
                }
                Write::HardState(_) | Write::Truncate { .. } => 0,
            })
            .sum();
        usual_us * slow.sync_factor + bytes * 1_000_000 / slow.disk_bytes
    }
}
