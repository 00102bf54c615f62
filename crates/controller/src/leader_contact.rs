//! Whether this node has contact with a leader, for the client that forwards requests from it.

use postbarrow_constants::consensus::HEARTBEAT_MS;
use std::net::SocketAddr;

/// What a node knows of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// No member: it learns of no leader from the log, while any member may know one.
    Outside,
    /// The leader's address, from a recent contact. It may be this node, while its lease lasts.
    Leader(SocketAddr),
    /// A member without contact to a leader.
    Silent {
        /// When the last contact was, by this node's clock, in milliseconds.
        since_ms: u64,
    },
}

/// When this node last had contact with a leader.
pub(crate) struct LeaderContact {
    last_tick_ms: u64,
    /// This node itself included, while it has the lease.
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

    /// Time in which this node itself was suspended does not count: what it was sent meanwhile may
    /// be the next thing it reads.
    pub fn on_no_contact(&mut self, now_ms: u64, gap_ms: u64) {
        if gap_ms > HEARTBEAT_MS {
            self.last_contact_ms = (self.last_contact_ms + gap_ms).min(now_ms);
        }
    }
}
