//! Sending of the leader's snapshot to a follower that lacks entries which the leader has dropped
//! (thesis, figure 5.3).

use crate::outgoing_snapshot::OutgoingSnapshot;
use crate::{Consensus, Member, MemberId, Message, Role, SnapshotResponse};

impl Consensus {
    /// Sends the snapshot chunks that are due. A transfer continues to its end when a newer
    /// snapshot exists, unless its follower no longer responds.
    pub(crate) fn send_snapshot(&mut self, now_ms: u64, id: MemberId) {
        let Some(newest) = self.snapshot.clone() else { return };
        let term = self.term;
        let Some(progress) = self.leader_state.progress.get_mut(&id) else { return };
        let (to, is_live) = (progress.member, progress.is_live(now_ms));
        progress.snapshot_transfer.take_if(|transfer| !is_live && transfer.index() < newest.index);
        let transfer =
            progress.snapshot_transfer.get_or_insert_with(|| OutgoingSnapshot::new(newest, now_ms));
        for chunk in transfer.take_due_chunks(now_ms, term) {
            self.send(to, Message::Snapshot(chunk));
        }
    }

    /// Handles a follower's response to a chunk: the follower received the chunk, or it has the
    /// complete snapshot on disk.
    pub(crate) fn on_snapshot_response(
        &mut self,
        now_ms: u64,
        from: Member,
        response: SnapshotResponse,
    ) {
        if response.term > self.term {
            return self.become_follower(now_ms, response.term, None);
        }
        if self.role != Role::Leader || response.term < self.term {
            return;
        }
        let Some(progress) = self.leader_state.progress.get_mut(&from.id) else { return };
        progress.on_response(now_ms, response.sent_ms);
        if response.done {
            progress.on_confirmed(response.index, response.sent_ms);
            if progress
                .snapshot_transfer
                .take_if(|transfer| transfer.index() <= response.index)
                .is_some()
            {
                progress.restart_at(progress.match_index + 1, now_ms);
            }
            return self.send_append(now_ms, from.id, true);
        }
        let transfer = progress.snapshot_transfer.as_mut();
        if let Some(transfer) = transfer.filter(|transfer| transfer.index() == response.index) {
            transfer.on_response(now_ms, &response);
            self.send_snapshot(now_ms, from.id);
        }
    }
}
