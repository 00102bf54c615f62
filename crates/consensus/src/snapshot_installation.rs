//! Installation of a snapshot: a follower receives its chunks, and replaces its state and log
//! (thesis, figure 5.3).

use crate::incoming_snapshot::IncomingSnapshot;
use crate::{Consensus, Effect, Member, Message, Snapshot, SnapshotChunk, SnapshotResponse};
use std::sync::Arc;

impl Consensus {
    /// Adds a chunk to the snapshot that is being received, and installs the snapshot once it is
    /// complete. A complete snapshot is acknowledged once its slot is on disk.
    pub(crate) fn on_snapshot_chunk(&mut self, now_ms: u64, from: Member, chunk: SnapshotChunk) {
        let mut response = SnapshotResponse {
            term: self.term,
            index: chunk.index,
            received_bytes: 0,
            done: false,
            sent_ms: chunk.sent_ms,
            offset: chunk.offset,
        };
        if chunk.term < self.term {
            return self.send(from, Message::SnapshotResponse(response));
        }
        self.on_leader_contact(now_ms, from, chunk.term, chunk.sent_ms);
        response.term = self.term;
        response.done = chunk.index <= self.commit_index && !self.is_uninitialized();
        if response.done {
            return self.send_after_sync(from, Message::SnapshotResponse(response));
        }
        let mut incoming = IncomingSnapshot::resume(self.incoming_snapshot.take(), from.id, &chunk);
        incoming.append_chunk(&chunk);
        response.received_bytes = incoming.received_bytes();
        if !incoming.is_complete() {
            self.incoming_snapshot = Some(incoming);
            return self.send(from, Message::SnapshotResponse(response));
        }
        let Some(state) = incoming.into_state() else {
            response.received_bytes = 0;
            return self.send(from, Message::SnapshotResponse(response));
        };
        let SnapshotChunk { index, snapshot_term: term, members, .. } = chunk;
        self.install_snapshot(Arc::new(Snapshot { index, term, members, state }));
        response.done = true;
        self.send_after_sync(from, Message::SnapshotResponse(response));
    }

    /// Replaces the state by a snapshot. Entries after it are retained if the log has the
    /// snapshot's last entry; otherwise the snapshot replaces the log.
    fn install_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        if !self.is_uninitialized() && self.log.term_at(snapshot.index) == Some(snapshot.term) {
            self.log.compact_to(snapshot.index);
        } else {
            self.log.reset(&snapshot);
            self.durability.on_log_replaced();
        }
        self.commit_index = snapshot.index;
        self.effects.push(Effect::Restore(snapshot.clone()));
        self.write_slot(snapshot);
    }
}
