//! Leadership transfer before a planned stop or with a stalled disk (Raft thesis, 3.10). A stopping
//! leader lets its pending entries commit, transfers the leadership, and has departed once the log
//! no longer depends on this member.

use crate::ControlNode;
use crate::endpoint_list::ReceivedHandover;

/// The reason why a leader transfers its leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TransferReason {
    /// The leader's process is about to end.
    Stopping,
    /// The leader's disk is stalled, which delays every commit.
    DiskStalled,
}

impl ControlNode {
    pub(super) fn stop(&mut self, now_ms: u64) {
        self.is_stopping = true;
        self.step(now_ms, postbarrow_consensus::Input::Depart);
        self.leadership_transfer_tick(now_ms);
    }

    fn transfer_reason(&self) -> Option<TransferReason> {
        if self.is_stopping {
            Some(TransferReason::Stopping)
        } else if self.consensus.should_transfer_leadership() {
            Some(TransferReason::DiskStalled)
        } else {
            None
        }
    }

    /// Returns whether this node has a reason to transfer its leadership and no open transaction to
    /// finish first. It then accepts no new work.
    pub(super) fn is_departing(&self) -> bool {
        self.transfer_reason().is_some() && !self.has_open_transaction()
    }

    /// Transfers the leadership if there is a reason to, once no transaction is open and all
    /// entries are committed. The successor also gets the scan state of the endpoint list.
    pub(super) fn leadership_transfer_tick(&mut self, now_ms: u64) {
        let Some(reason) = self.transfer_reason() else { return };
        let Some(leader) = self.leader.as_ref().filter(|leader| leader.is_serving()) else {
            return;
        };
        let is_all_committed = self.consensus.commit_index() >= self.consensus.last_index();
        if leader.transaction.is_open() || !is_all_committed {
            return;
        }
        let handover = leader.endpoint_list.handover_state(now_ms).encode();
        if reason == TransferReason::DiskStalled {
            self.log_line("leadership transfer started reason=\"disk stalled\"".into());
        }
        self.step(now_ms, postbarrow_consensus::Input::TransferLeadership(handover));
    }

    pub(super) fn on_leadership_received(&mut self, now_ms: u64, handover: &[u8], late_ms: u64) {
        if let Some(received) = ReceivedHandover::decode(now_ms, handover, late_ms) {
            self.received_handover = Some(received);
        }
    }

    /// Removes and returns the former leader's scan state; `None` if none was received or it is too
    /// old.
    pub(super) fn take_handover(&mut self, now_ms: u64) -> Option<ReceivedHandover> {
        self.received_handover.take().filter(|received| received.is_current(now_ms))
    }

    /// Returns whether another node leads and the log no longer depends on this process: this
    /// member's seat was given to a learner that had caught up, if there was one, and the remaining
    /// members have every entry that it acknowledged.
    pub fn has_departed(&self) -> bool {
        let leader = self.consensus.leader();
        let has_successor = leader.is_some_and(|leader| leader.id != self.own.id);
        self.leader.is_none() && has_successor && self.consensus.has_departed()
    }
}
