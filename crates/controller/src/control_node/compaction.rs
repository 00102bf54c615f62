//! When a snapshot is taken out of the state, and what it does to the log.

use crate::snapshot::SnapshotContent;
use crate::{ControlNode, Effect, PendingSnapshot};
use postbarrow_consensus::Snapshot;
use postbarrow_transactions::Tail;

impl ControlNode {
    /// Starts again from a snapshot.
    pub(super) fn restore(&mut self, snapshot: &Snapshot) {
        let content = SnapshotContent::decode(snapshot);
        self.tail = Tail::new(snapshot.index, content.state.as_ref().clone());
        self.updates.restore(content.update_offset);
        self.count_log();
    }

    /// Between transactions only: a snapshot carries no markers. So it is due after each entry, not
    /// at ticks: while plan follows plan, a transaction is open at nearly every tick. It is encoded
    /// beside the control loop, since that takes longer than a lease can spare. A node that has just
    /// started has applied nothing beyond its snapshot: the log that it read counts until it has.
    pub(super) fn compact(&mut self, now_ms: u64) {
        if !self.snapshots.is_due(now_ms) || self.tail.is_open() {
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
        self.log(now_ms, postbarrow_consensus::Input::Compact { index, state });
        self.count_log();
    }

    /// The next start reads all entries after the snapshot, also those that came while it was
    /// encoded.
    fn count_log(&mut self) {
        let log_bytes = self.consensus.log().bytes_after(self.consensus.snapshot_index());
        self.snapshots.set_log_bytes(log_bytes);
    }
}
