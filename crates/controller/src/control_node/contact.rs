//! The node's contact with a leader.

use crate::{Contact, ControlNode};

impl ControlNode {
    /// Returns whether this node is in contact with a leader at `now_ms`, and with which one.
    pub fn contact(&self, now_ms: u64) -> Contact {
        if !self.consensus.log().is_member(self.own.id) {
            return Contact::NotMember;
        }
        let leader = self.consensus.leader().map(|leader| leader.address);
        match leader.filter(|address| *address != self.own.address || self.has_lease(now_ms)) {
            Some(address) => Contact::Leader(address),
            None => Contact::NoLeader { since_ms: self.contact.last_contact_ms() },
        }
    }

    pub(super) fn contact_tick(&mut self, now_ms: u64, gap_ms: u64) {
        match self.contact(now_ms) {
            Contact::Leader(leader) if leader == self.own.address => {
                self.contact.on_own_lease(now_ms)
            }
            Contact::Leader(_) => {
                self.contact.on_leader_contact(self.consensus.last_leader_contact_ms())
            }
            Contact::NotMember | Contact::NoLeader { .. } => {
                self.contact.on_no_contact(now_ms, gap_ms)
            }
        }
    }
}
