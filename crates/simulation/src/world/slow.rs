//! Waits for a slow link and a slow disk.

use crate::world::World;
use postbarrow_consensus::{Entry, Write};
use postbarrow_messages::{Envelope, to_frame};
use std::net::SocketAddr;

fn size_bytes(entries: &[Entry]) -> u64 {
    entries.iter().map(|entry| entry.size() as u64).sum()
}

impl World {
    /// Microseconds for which a frame waits for a slow link and occupies it.
    pub(crate) fn link_wait_us(&mut self, to: SocketAddr, envelope: &Envelope) -> u64 {
        let Some(slow) = &mut self.slow else { return 0 };
        let own = self.control[slow.at].address;
        if own != to && own != envelope.from {
            return 0;
        }
        let bytes = to_frame(envelope).map_or(0, |frame| frame.len() as u64);
        let free_us = slow.free_us.entry((envelope.from, to)).or_default();
        *free_us = self.now_us.max(*free_us) + bytes * 1_000_000 / slow.link_bytes;
        *free_us - self.now_us
    }

    /// Microseconds that a sync takes here, given the usual ones.
    pub(crate) fn sync_us(&self, at: usize, usual_us: u64) -> u64 {
        let Some(slow) = self.slow.as_ref().filter(|slow| slow.at == at) else { return usual_us };
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
