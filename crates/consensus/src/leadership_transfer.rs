//! Leadership transfer (thesis, 3.10): a leader relinquishes its lease and lets a caught-up
//! follower campaign at once.

use crate::{Consensus, Effect, Member, Message, Role, TimeoutNow};

impl Consensus {
    /// Transfers leadership to a caught-up follower, if there is one. The lease is relinquished
    /// first and for the rest of the term, so that the others need not wait for its end.
    pub(crate) fn transfer_leadership(&mut self, now_ms: u64, handover_state: Vec<u8>) {
        if self.role != Role::Leader {
            return;
        }
        let Some(transferee) = self.transferee(now_ms) else { return };
        self.leader_state.is_transferring = true;
        let request = TimeoutNow { term: self.term, sent_ms: now_ms, handover_state };
        self.send(transferee, Message::TimeoutNow(request));
    }

    fn transferee(&self, now_ms: u64) -> Option<Member> {
        let last_index = self.log.last_index();
        let mut candidates = self.leader_state.progress.values().filter(|progress| {
            let id = progress.member.id;
            progress.match_index == last_index
                && self.log.is_member(id)
                && self.is_responsive(now_ms, id)
                && !self.is_departing(now_ms, id)
        });
        candidates.next().map(|progress| progress.member)
    }

    /// Starts an election at the request of this member's leader, without a pre-vote, and although
    /// other voters still withhold their votes because of that leader.
    pub(crate) fn on_timeout_now(&mut self, now_ms: u64, from: Member, request: TimeoutNow) {
        let follows_sender = self.role == Role::Follower && self.contact.leader == Some(from.id);
        if request.term != self.term || !follows_sender || !self.log.is_member(self.id) {
            return;
        }
        let late_ms = self.contact.excess_delay_ms(now_ms, request.sent_ms);
        let handover_state = request.handover_state;
        self.effects.push(Effect::LeadershipReceived { handover_state, late_ms });
        self.start_vote(now_ms, true);
    }
}
