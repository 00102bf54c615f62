//! What a deployment sets beyond what every control node needs.

use crate::ControlNode;
use crate::leader_settings::LeaderSettings;
use std::net::SocketAddr;

impl ControlNode {
    /// The smallest gap between requests for pages of the endpoint list, how long events are
    /// retained, both in milliseconds, and after how many bytes of log a snapshot is due.
    pub fn with_bounds(mut self, list_gap_ms: u64, history_ms: u64, log_bytes: u64) -> Self {
        self.settings = LeaderSettings { list_gap_ms, history_ms };
        self.snapshots.set_spread_bound(self.own.id, log_bytes);
        self
    }

    /// Snapshots after exactly so many bytes of log; for tests that need many of them.
    pub fn with_log_bound(mut self, size_bytes: u64) -> Self {
        self.snapshots.set_bound(size_bytes);
        self
    }

    /// The addresses of one, two or three nodes that bootstrap the log together; all others join it.
    pub fn with_founders(mut self, founders: &[SocketAddr]) -> Self {
        self.directory.set_founders(founders);
        self
    }

    /// A node without a lasting disk is never a member; it finds the leader for others.
    pub fn as_observer(mut self) -> Self {
        self.directory.set_observer();
        self
    }

    /// Addresses at which a node without membership may find other control nodes.
    pub fn introduced(&self) -> Vec<SocketAddr> {
        self.directory.addresses()
    }

    /// So many members may be lost at once.
    pub fn with_losses(mut self, losses: usize) -> Self {
        self.consensus.set_losses(losses);
        self
    }

    /// After so many milliseconds without contact a voter's seat goes to a learner that has caught
    /// up.
    pub fn with_voter_dead(mut self, voter_dead_ms: u64) -> Self {
        self.consensus.set_voter_dead_ms(voter_dead_ms);
        self
    }

    /// A log is known to exist: an empty disk joins it and bootstraps none.
    pub fn with_known_log(mut self) -> Self {
        self.directory.on_log_known();
        self
    }
}
