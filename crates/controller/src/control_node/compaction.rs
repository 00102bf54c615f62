//! Takes snapshots of the committed state, compacts the log with them, and restores them.

use crate::snapshot::SnapshotContent;
use crate::{ControlNode, Effect, PendingSnapshot};
use postbarrow_consensus::Snapshot;
use postbarrow_transactions::Tail;

impl ControlNode {
    /// Replaces the committed state by the snapshot's. A member that could not apply an earlier part
    /// of the log continues from there.
    pub(super) fn restore(&mut self, now_ms: u64, snapshot: &Snapshot) {
        let content = match SnapshotContent::decode(snapshot) {
            Ok(content) => content,
            Err(failure) => return self.on_apply_failure(now_ms, failure),
        };
        self.tail = Tail::new(snapshot.index, content.state.as_ref().clone());
        self.updates.restore(content.update_offset);
        self.update_log_bytes();
        self.on_applying_again(now_ms);
    }

    /// Starts encoding a snapshot if one is due. A snapshot carries no transaction markers, so it
    /// is taken only between transactions. This is checked after each entry and not only at ticks:
    /// while plans are submitted back to back, a transaction is open at nearly every tick. The
    /// snapshot is encoded outside the control loop, since encoding takes longer than the leader
    /// may delay the renewal of its lease. A node that has just started has applied nothing beyond
    /// its snapshot and takes none; the log that it read at its start counts towards the next one.
    pub(super) fn compact(&mut self, now_ms: u64) {
        if !self.snapshots.is_due(now_ms) || self.tail.has_open_transaction() {
            return;
        }
        let index = self.tail.offset().min(self.consensus.commit_index());
        if index <= self.consensus.snapshot_index() {
            return;
        }
        self.snapshots.on_encoding_started(now_ms);
        let state = self.tail.image().clone();
        let content = SnapshotContent { state, update_offset: self.updates.update_offset() };
        self.effects.push(Effect::Encode(PendingSnapshot { index, content }));
    }

    pub(super) fn on_encoded(&mut self, now_ms: u64, index: u64, state: Vec<u8>) {
        self.log_line(format!("snapshot taken index={index} bytes={}", state.len()));
        self.snapshots.on_encoded();
        self.step(now_ms, postbarrow_consensus::Input::Compact { index, state });
        self.update_log_bytes();
    }

    /// Sets the size of the log after the last snapshot. This includes the entries that were
    /// appended while the snapshot was encoded, because the next start reads them too.
    fn update_log_bytes(&mut self) {
        let log_bytes = self.consensus.log().bytes_after(self.consensus.snapshot_index());
        self.snapshots.set_log_bytes(log_bytes);
    }
}
