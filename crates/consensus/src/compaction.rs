//! Replacement of the log's beginning by a snapshot (thesis, chapter 5), and the entries that are
//! retained behind the snapshot.

use crate::outgoing_snapshot::OutgoingSnapshot;
use crate::{Consensus, Snapshot, Write};
use postbarrow_constants::consensus::{
    ENTRIES_RETAINED, ENTRIES_RETAINED_BYTES, ENTRIES_RETAINED_MAX_BYTES,
};
use std::sync::Arc;

impl Consensus {
    /// Replaces the log up to `index` by a snapshot that the application took there: writes it to a
    /// slot with the entries after it, and drops old entries from memory.
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

    /// Drops entries up to `index` from memory, except for the newest ones, as many as
    /// `ENTRIES_RETAINED` and `ENTRIES_RETAINED_BYTES` allow, and for those that a live follower
    /// lacks, which would otherwise need one snapshot after another. For such a follower, at most
    /// `ENTRIES_RETAINED_MAX_BYTES` are retained or, if that is more, as many bytes as the snapshot
    /// that is being sent to it has, since the link carries those in the same time.
    fn drop_entries(&mut self, now_ms: u64, index: u64) {
        let mut base = self.log.base_retaining(index, ENTRIES_RETAINED, ENTRIES_RETAINED_BYTES);
        let followers = self.leader_state.progress.values();
        for progress in followers.filter(|progress| progress.is_live(now_ms)) {
            let transfer = progress.snapshot_transfer.as_ref();
            let match_index = progress.match_index;
            let follower_index =
                transfer.map_or(match_index, |transfer| transfer.index().max(match_index));
            let max_bytes =
                transfer.map_or(0, OutgoingSnapshot::total_bytes).max(ENTRIES_RETAINED_MAX_BYTES);
            base =
                base.min(follower_index.max(self.log.base_retaining(index, u64::MAX, max_bytes)));
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
