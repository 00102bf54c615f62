//! A planned stop: what was begun commits, another leads, and the log can do without this member.

use crate::ControlNode;
use postbarrow_constants::consensus::HANDED_KEEP_MS;
use postbarrow_state::Name;
use serde::{Deserialize, Serialize};

/// What a controller that stops tells its heir of the platform's list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Note {
    /// How long ago the last whole walk ended.
    pub walked_ms: Option<u64>,
    pub order: Vec<Name>,
    pub chain: Vec<Option<String>>,
    pub gap_ms: u64,
    /// How long ago each question of the list's last window was asked.
    pub asked_ms: Vec<u64>,
}

/// Why a controller hands over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// Its process is to end.
    Stopping,
    /// Its disk keeps every promise waiting.
    DiskStalled,
}

pub(crate) struct Handed {
    pub at_ms: u64,
    pub note: Note,
}

impl ControlNode {
    pub(crate) fn stop(&mut self, now_ms: u64) {
        self.stopping = true;
        self.log(now_ms, postbarrow_consensus::Input::Leave);
        self.hand_over_tick(now_ms);
    }

    /// Why this controller is to give its hold to another, if it is.
    fn handover_reason(&self) -> Option<Reason> {
        match (self.stopping, self.consensus.should_yield()) {
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
        let Some(lead) = self.lead.as_ref().filter(|lead| lead.ready) else { return };
        if lead.open.is_some() || self.consensus.commit() < self.consensus.last() {
            return;
        }
        let note = rmp_serde::to_vec(&lead.walk.note(now_ms)).unwrap_or_default();
        if reason == Reason::DiskStalled {
            self.say("hands over: its disk is stalled".into());
        }
        self.log(now_ms, postbarrow_consensus::Input::HandOver(note));
    }

    pub(crate) fn on_handed(&mut self, now_ms: u64, note: &[u8], late_ms: u64) {
        if let Ok(mut note) = rmp_serde::from_slice::<Note>(note) {
            note.walked_ms = note.walked_ms.map(|walked_ms| walked_ms + late_ms);
            self.handed = Some(Handed { at_ms: now_ms, note });
        }
    }

    /// What the last controller knew is worth something only right after it said so.
    pub(crate) fn take_handed(&mut self, now_ms: u64) -> Option<Handed> {
        self.handed.take().filter(|handed| now_ms < handed.at_ms + HANDED_KEEP_MS)
    }

    /// Another leads, and the log needs nothing of this process: its seat is given to a learner that
    /// stood ready, if one did, and those that stay hold all that it acknowledged.
    pub fn has_handed_over(&self) -> bool {
        let heir = self.consensus.leader().is_some_and(|leader| leader.id != self.own.id);
        self.lead.is_none() && heir && self.consensus.has_left()
    }
}
