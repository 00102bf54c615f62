//! Whether this node hears of a leader, for whoever hands questions on from here.

use crate::ControlNode;
use postbarrow_constants::consensus::HEARTBEAT_MS;
use std::net::SocketAddr;

/// What a node knows of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// Not a member: the log tells it nothing of leaders, any member may know one.
    Outside,
    /// Heard lately; it may be this node itself, while its lease lasts.
    Leader(SocketAddr),
    /// A member that heard of no leader for so long, by its own clock.
    Silent { since_ms: u64 },
}

impl ControlNode {
    /// What this node knows of the leader at this moment.
    pub fn contact(&self, now_ms: u64) -> Contact {
        if !self.consensus.log().is_member(self.own.id) {
            return Contact::Outside;
        }
        let leader = self.consensus.leader().map(|leader| leader.address);
        match leader.filter(|address| *address != self.own.address || self.has_lease(now_ms)) {
            Some(address) => Contact::Leader(address),
            None => Contact::Silent { since_ms: self.leader_contact_ms },
        }
    }

    /// Notes when a leader was heard last. Time in which this node itself stood still does not
    /// count: what it was sent meanwhile may be the next thing it reads.
    pub(crate) fn contact_tick(&mut self, now_ms: u64, gap_ms: u64) {
        match self.contact(now_ms) {
            Contact::Leader(leader) if leader == self.own.address => {
                self.leader_contact_ms = now_ms
            }
            Contact::Leader(_) => {
                self.leader_contact_ms =
                    self.leader_contact_ms.max(self.consensus.leader_contact_ms())
            }
            _ if gap_ms > HEARTBEAT_MS => {
                self.leader_contact_ms = (self.leader_contact_ms + gap_ms).min(now_ms)
            }
            _ => {}
        }
    }
}
