//! A planned stop: what was begun commits, another leads, and the log can do without this member.

use crate::ControlNode;
use postbarrow_constants::consensus::HANDOVER_RETENTION_MS;
use postbarrow_state::Name;
use serde::{Deserialize, Serialize};

/// What a controller that stops tells its heir of the platform's list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ScanHandover {
    /// How long ago the last whole walk ended.
    pub completed_age_ms: Option<u64>,
    pub order: Vec<Name>,
    pub chain: Vec<Option<String>>,
    pub gap_ms: u64,
    /// How long ago each question of the list's last window was asked.
    pub recent_request_ages_ms: Vec<u64>,
}

/// Why a controller hands over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// Its process is to end.
    Stopping,
    /// Its disk keeps every promise waiting.
    DiskStalled,
}

pub(crate) struct ReceivedHandover {
    pub at_ms: u64,
    pub scan: ScanHandover,
}

impl ControlNode {
    pub(crate) fn stop(&mut self, now_ms: u64) {
        self.stopping = true;
        self.log(now_ms, postbarrow_consensus::Input::Depart);
        self.leadership_transfer_tick(now_ms);
    }

    /// Why this controller is to give its hold to another, if it is.
    fn transfer_reason(&self) -> Option<Reason> {
        match (self.stopping, self.consensus.should_yield()) {
            (true, _) => Some(Reason::Stopping),
            (_, true) => Some(Reason::DiskStalled),
            _ => None,
        }
    }

    /// About to hand over, with nothing begun that is still open: nothing new is begun either.
    pub(crate) fn is_departing(&self) -> bool {
        self.transfer_reason().is_some() && !self.is_open()
    }

    /// A controller about to hand over lets what it began commit, then gives its hold to another.
    pub(crate) fn leadership_transfer_tick(&mut self, now_ms: u64) {
        let Some(reason) = self.transfer_reason() else { return };
        let Some(leader) = self.leader.as_ref().filter(|leader| leader.ready) else { return };
        if leader.open_plan.is_some() || self.consensus.commit_index() < self.consensus.last_index()
        {
            return;
        }
        let handover = rmp_serde::to_vec(&leader.scan.handover_state(now_ms)).unwrap_or_default();
        if reason == Reason::DiskStalled {
            self.log_line("hands over: its disk is stalled".into());
        }
        self.log(now_ms, postbarrow_consensus::Input::TransferLeadership(handover));
    }

    pub(crate) fn on_leadership_received(&mut self, now_ms: u64, handover: &[u8], late_ms: u64) {
        if let Ok(mut handover) = rmp_serde::from_slice::<ScanHandover>(handover) {
            handover.completed_age_ms = handover.completed_age_ms.map(|age_ms| age_ms + late_ms);
            self.received_handover = Some(ReceivedHandover { at_ms: now_ms, scan: handover });
        }
    }

    /// What the last controller knew is worth something only right after it said so.
    pub(crate) fn take_handover_state(&mut self, now_ms: u64) -> Option<ReceivedHandover> {
        self.received_handover
            .take()
            .filter(|received| now_ms < received.at_ms + HANDOVER_RETENTION_MS)
    }

    /// Another leads, and the log needs nothing of this process: its seat is given to a learner that
    /// stood ready, if one did, and those that stay hold all that it acknowledged.
    pub fn has_departed(&self) -> bool {
        let has_successor = self.consensus.leader().is_some_and(|leader| leader.id != self.own.id);
        self.leader.is_none() && has_successor && self.consensus.has_left()
    }
}
