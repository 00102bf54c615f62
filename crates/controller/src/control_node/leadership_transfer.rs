//! A planned stop: what was begun commits, another leads, and the log needs this member no more
//! (Raft thesis, 3.10).

use crate::ControlNode;
use crate::endpoint_list::ReceivedHandover;

/// Why a leader transfers its leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TransferReason {
    /// Its process is to end.
    Stopping,
    /// Its disk delays every commit.
    DiskStalled,
}

impl ControlNode {
    pub(super) fn stop(&mut self, now_ms: u64) {
        self.is_stopping = true;
        self.log(now_ms, postbarrow_consensus::Input::Depart);
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

    /// About to transfer its leadership, with no transaction open: nothing new is begun either.
    pub(super) fn is_departing(&self) -> bool {
        self.transfer_reason().is_some() && !self.has_open_transaction()
    }

    /// Lets what was begun commit, then transfers the leadership with what is known of the endpoint
    /// list.
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
        self.log(now_ms, postbarrow_consensus::Input::TransferLeadership(handover));
    }

    pub(super) fn on_leadership_received(&mut self, now_ms: u64, handover: &[u8], late_ms: u64) {
        if let Some(received) = ReceivedHandover::decode(now_ms, handover, late_ms) {
            self.received_handover = Some(received);
        }
    }

    /// What the former leader sent, if it is recent.
    pub(super) fn take_handover(&mut self, now_ms: u64) -> Option<ReceivedHandover> {
        self.received_handover.take().filter(|received| received.is_current(now_ms))
    }

    /// Whether another leads and the log needs nothing of this process: its seat was given to a
    /// learner that had caught up, if there was one, and the remaining members have all that it
    /// acknowledged.
    pub fn has_departed(&self) -> bool {
        let leader = self.consensus.leader();
        let has_successor = leader.is_some_and(|leader| leader.id != self.own.id);
        self.leader.is_none() && has_successor && self.consensus.has_departed()
    }
}
