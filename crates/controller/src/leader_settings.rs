//! Settings of the leader's work.

use postbarrow_constants::coordination::HISTORY_RETENTION_MS;
use postbarrow_constants::nodes::LIST_GAP_MS;

/// The deployment's settings of the leader's work, in milliseconds.
pub(crate) struct LeaderSettings {
    /// Minimum time between two requests for pages of the endpoint list.
    pub list_gap_ms: u64,
    /// How long events of locks, numbers and keys are retained.
    pub history_ms: u64,
}

impl Default for LeaderSettings {
    fn default() -> Self {
        LeaderSettings { list_gap_ms: LIST_GAP_MS, history_ms: HISTORY_RETENTION_MS }
    }
}
