//! A leader gives up its lease and lets a caught-up follower lead at once.

use crate::*;

impl Consensus {
    /// The hold ends first and for the rest of the term, so that the others need not wait for it.
    pub(crate) fn hand_over(&mut self, now_ms: u64, note: Vec<u8>) {
        if self.role != Role::Leader {
            return;
        }
        let last = self.log.last_index();
        let heir = self.progress.values().filter(|known| {
            known.matched == last
                && self.log.is_member(known.member.id)
                && self.is_responsive(now_ms, known.member.id)
                && !self.is_leaving(now_ms, known.member.id)
        });
        let Some(heir) = heir.map(|known| known.member).next() else {
            return;
        };
        self.transferring_leadership = true;
        let ask = TimeoutNow { term: self.term, sent_ms: now_ms, handover_state: note };
        self.send(heir, Message::TimeoutNow(ask));
    }

    pub(crate) fn on_take_over(&mut self, now_ms: u64, from: Member, ask: TimeoutNow) {
        let led = self.role == Role::Follower && self.leader == Some(from.id);
        if ask.term != self.term || !led || !self.log.is_member(self.id) {
            return;
        }
        let offset_ms = now_ms as i64 - ask.sent_ms as i64;
        let late_ms = self.leader_offset_ms.map_or(0, |least| (offset_ms - least).max(0) as u64);
        self.effects.push(Effect::LeadershipReceived { note: ask.handover_state, late_ms });
        self.start_vote(now_ms, true);
    }

    pub(crate) fn note_offset(&mut self, now_ms: u64, sent_ms: u64) {
        let offset_ms = now_ms as i64 - sent_ms as i64;
        let least = self.leader_offset_ms.map_or(offset_ms, |least| least.min(offset_ms));
        self.leader_offset_ms = Some(least);
    }
}
