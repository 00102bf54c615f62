//! When a snapshot replaces the log's beginning (thesis, chapter 5), and which entries are retained
//! behind it.

use crate::outgoing_snapshot::OutgoingSnapshot;
use crate::{Consensus, Snapshot, Write};
use postbarrow_constants::consensus::{
    ENTRIES_RETAINED, ENTRIES_RETAINED_BYTES, ENTRIES_RETAINED_MAX_BYTES,
};
use std::sync::Arc;

impl Consensus {
    /// The application took a snapshot at `index`: it is written to a slot with the entries after
    /// it, and old entries are dropped from memory.
    pub(crate) fn compact(&mut self, now_ms: u64, index: u64, state: Vec<u8>) {
        let Some(term) = self.log.term_at(index) else { return };
        if index > self.commit_index || index <= self.snapshot_index() {
            return;
        }
        let members = self.log.members_at(index);
        let snapshot = Arc::new(Snapshot { index, term, members, state });
        self.drop_entries(now_ms, index);
        self.write_slot(snapshot);
    }

    /// Entries that a live follower lacks are retained, or it would need snapshot after snapshot:
    /// up to as many bytes as its snapshot has, since the link carries those in the same time.
    fn drop_entries(&mut self, now_ms: u64, index: u64) {
        let mut base = self.log.base_retaining(index, ENTRIES_RETAINED, ENTRIES_RETAINED_BYTES);
        let followers = self.leader_state.progress.values();
        for progress in followers.filter(|progress| progress.is_live(now_ms)) {
            let sending = progress.snapshot.as_ref();
            let matched = progress.matched;
            let next = sending.map_or(matched, |sending| sending.index().max(matched));
            let max_bytes =
                sending.map_or(0, OutgoingSnapshot::total).max(ENTRIES_RETAINED_MAX_BYTES);
            base = base.min(next.max(self.log.base_retaining(index, u64::MAX, max_bytes)));
        }
        self.log.compact_to(base);
    }

    /// Writes a snapshot, the hard state and the entries after the snapshot to a slot.
    pub(crate) fn write_slot(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = Some(snapshot.clone());
        let entries = self.log.range(snapshot.index + 1, self.log.last_index());
        self.write(Write::Slot { snapshot, hard: self.hard_state(), entries });
        self.durability.on_append(self.log.last_index());
    }
}
