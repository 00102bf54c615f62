use crate::ControlNode;
use postbarrow_constants::consensus::LOG_SPREAD;
use std::net::SocketAddr;

/// What a deployment sets, beside what every control node needs.
impl ControlNode {
    /// The list is asked no oftener, events are kept so long, and a slot is written after so many
    /// bytes of log.
    pub fn with_bounds(mut self, list_gap_ms: u64, history_ms: u64, log_bytes: u64) -> Self {
        self.list_gap_ms = list_gap_ms;
        self.history_ms = history_ms;
        self.log_bound_bytes = log_bytes + self.own.id % LOG_SPREAD * (log_bytes / LOG_SPREAD);
        self
    }

    /// Snapshots after other than the usual bytes of log; for tests that must see many.
    pub fn with_log_bound(mut self, size_bytes: u64) -> Self {
        self.log_bound_bytes = size_bytes;
        self
    }

    /// These begin the log together, be they one, two or three; all others join it.
    pub fn with_founders(mut self, founders: &[SocketAddr]) -> Self {
        self.directory.founders = Some(founders.iter().copied().collect());
        self
    }

    /// One without a disk that lasts is never a member; it finds the controller for others.
    pub fn as_observer(mut self) -> Self {
        self.directory.observer = true;
        self
    }

    /// Where other control nodes may be found by one that is no member.
    pub fn introduced(&self) -> Vec<SocketAddr> {
        self.directory.addresses()
    }

    /// So many members may be lost at once.
    pub fn with_losses(mut self, losses: usize) -> Self {
        self.consensus.set_losses(losses);
        self
    }

    /// After so much silence a member's seat goes to another that stands ready.
    pub fn with_voter_dead(mut self, voter_dead_ms: u64) -> Self {
        self.consensus.set_voter_dead_ms(voter_dead_ms);
        self
    }

    /// A log is known to exist: an empty disk joins it, and begins none.
    pub fn with_known_log(mut self) -> Self {
        self.directory.log_exists = true;
        self
    }
}
