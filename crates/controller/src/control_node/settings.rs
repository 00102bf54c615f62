//! Optional settings of a control node, and the peer addresses that it knows.

use crate::ControlNode;
use crate::leader_settings::LeaderSettings;
use std::net::SocketAddr;

impl ControlNode {
    /// Sets the smallest gap between requests for pages of the endpoint list and the retention time
    /// of events, both in milliseconds, and the size of the log at which a snapshot is due. That
    /// size is varied by member, so that members don't all write a snapshot at once.
    pub fn with_bounds(mut self, list_gap_ms: u64, history_ms: u64, log_bytes: u64) -> Self {
        self.settings = LeaderSettings { list_gap_ms, history_ms };
        self.snapshots.set_spread_bound(self.own.id, log_bytes);
        self
    }

    /// Sets the exact size of the log at which a snapshot is due; for tests that need many
    /// snapshots.
    pub fn with_log_bound(mut self, size_bytes: u64) -> Self {
        self.snapshots.set_bound(size_bytes);
        self
    }

    /// Sets the addresses of the one, two or three nodes that bootstrap the log together; all other
    /// nodes join that log.
    pub fn with_bootstrap_members(mut self, addresses: &[SocketAddr]) -> Self {
        self.directory.set_bootstrap_addresses(addresses);
        self
    }

    /// Makes this node an observer, for a process without durable storage: it never becomes a
    /// member and only finds the leader, so that requests can be forwarded.
    pub fn as_observer(mut self) -> Self {
        self.directory.set_observer();
        self
    }

    /// Returns the addresses of control nodes that this node knows from its seeds, from
    /// introductions and from announcements; a node that is not a member finds the others there.
    pub fn known_control_addresses(&self) -> Vec<SocketAddr> {
        self.directory.addresses()
    }

    /// Sets how many members may be lost at once; the number of voters is what a majority needs
    /// after that loss.
    pub fn with_tolerated_losses(mut self, losses: usize) -> Self {
        self.consensus.set_tolerated_losses(losses);
        self
    }

    /// Sets the time without a response, in milliseconds, after which a voter's seat goes to a
    /// learner that has caught up.
    pub fn with_voter_dead_ms(mut self, voter_dead_ms: u64) -> Self {
        self.consensus.set_voter_dead_ms(voter_dead_ms);
        self
    }

    /// Records that a log is known to exist, so that a node with an empty disk joins it and never
    /// bootstraps another one.
    pub fn with_known_log(mut self) -> Self {
        self.directory.on_log_known();
        self
    }
}
