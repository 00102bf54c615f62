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
        self.hand_over_tick(now_ms);
    }

    /// Why this controller is to give its hold to another, if it is.
    fn handover_reason(&self) -> Option<Reason> {
        match (self.stopping, self.consensus.should_transfer_leadership()) {
            (true, _) => Some(Reason::Stopping),
            (_, true) => Some(Reason::DiskStalled),
            _ => None,
        }
    }

    /// About to hand over, with nothing begun that is still open: nothing new is begun either.
    pub(crate) fn is_leaving(&self) -> bool {
        self.handover_reason().is_some() && !self.is_open()
    }

    /// A controller about to hand over lets what it began commit, then gives its hold to another.
    pub(crate) fn hand_over_tick(&mut self, now_ms: u64) {
        let Some(reason) = self.handover_reason() else { return };
        let Some(lead) = self.leader.as_ref().filter(|lead| lead.ready) else { return };
        if lead.open_plan.is_some() || self.consensus.commit_index() < self.consensus.last_index() {
            return;
        }
        let note = rmp_serde::to_vec(&lead.scan.handover_state(now_ms)).unwrap_or_default();
        if reason == Reason::DiskStalled {
            self.log_line("hands over: its disk is stalled".into());
        }
        self.log(now_ms, postbarrow_consensus::Input::TransferLeadership(note));
    }

    pub(crate) fn on_leadership_received(&mut self, now_ms: u64, note: &[u8], late_ms: u64) {
        if let Ok(mut note) = rmp_serde::from_slice::<ScanHandover>(note) {
            note.completed_age_ms = note.completed_age_ms.map(|walked_ms| walked_ms + late_ms);
            self.received_handover = Some(ReceivedHandover { at_ms: now_ms, scan: note });
        }
    }

    /// What the last controller knew is worth something only right after it said so.
    pub(crate) fn take_handover(&mut self, now_ms: u64) -> Option<ReceivedHandover> {
        self.received_handover.take().filter(|handed| now_ms < handed.at_ms + HANDOVER_RETENTION_MS)
    }

    /// Another leads, and the log needs nothing of this process: its seat is given to a learner that
    /// stood ready, if one did, and those that stay hold all that it acknowledged.
    pub fn has_handed_over(&self) -> bool {
        let heir = self.consensus.leader().is_some_and(|leader| leader.id != self.own.id);
        self.leader.is_none() && heir && self.consensus.has_departed()
    }
}
