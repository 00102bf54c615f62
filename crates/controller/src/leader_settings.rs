//! Settings that a leader reads.

use postbarrow_constants::coordination::HISTORY_RETENTION_MS;
use postbarrow_constants::nodes::LIST_GAP_MS;

/// What a deployment sets for the leader's work, in milliseconds.
pub(crate) struct LeaderSettings {
    /// The smallest gap between two requests for pages of the endpoint list.
    pub list_gap_ms: u64,
    /// How long events are retained.
    pub history_ms: u64,
}

impl Default for LeaderSettings {
    fn default() -> Self {
        LeaderSettings { list_gap_ms: LIST_GAP_MS, history_ms: HISTORY_RETENTION_MS }
    }
}
