//! This node's contact with the leader, for the client that forwards requests from this node.

use postbarrow_constants::consensus::HEARTBEAT_MS;
use std::net::SocketAddr;

/// A control node's contact with the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The node is not a member, so it doesn't learn from the log who leads. Any member may know
    /// the leader.
    NotMember,
    /// Address of the leader, from a recent contact. The leader may be this node, while its lease
    /// lasts.
    Leader(SocketAddr),
    /// The node is a member without contact to a leader.
    NoLeader {
        /// Time of the last contact by this node's clock, in milliseconds.
        since_ms: u64,
    },
}

/// Tracks when this node last had contact with a leader.
pub(crate) struct LeaderContact {
    last_tick_ms: u64,
    /// Time of the last contact with a leader. While this node has the leader's lease, it counts as
    /// in contact with itself.
    last_contact_ms: u64,
}

impl LeaderContact {
    pub fn new(now_ms: u64) -> Self {
        LeaderContact { last_tick_ms: now_ms, last_contact_ms: now_ms }
    }

    pub fn last_contact_ms(&self) -> u64 {
        self.last_contact_ms
    }

    /// Returns the time since the last tick, in milliseconds.
    pub fn on_tick(&mut self, now_ms: u64) -> u64 {
        let gap_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        gap_ms
    }

    pub fn on_own_lease(&mut self, now_ms: u64) {
        self.last_contact_ms = now_ms;
    }

    pub fn on_leader_contact(&mut self, contact_ms: u64) {
        self.last_contact_ms = self.last_contact_ms.max(contact_ms);
    }

    /// Excludes the time in which this node itself was suspended from the time without contact: the
    /// messages that it reads next may have been sent to it meanwhile. `gap_ms` is the time since
    /// the last tick.
    pub fn on_no_contact(&mut self, now_ms: u64, gap_ms: u64) {
        if gap_ms > HEARTBEAT_MS {
            self.last_contact_ms = (self.last_contact_ms + gap_ms).min(now_ms);
        }
    }
}
