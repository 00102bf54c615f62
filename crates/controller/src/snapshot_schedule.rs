//! Decides when the next snapshot is due.

use postbarrow_consensus::MemberId;
use postbarrow_constants::consensus::{LOG_BYTES, LOG_SPREAD, SNAPSHOT_ENCODE_MAX_MS};

/// Counts the bytes of log since the last snapshot, and tracks whether a snapshot is being encoded.
pub(crate) struct SnapshotSchedule {
    /// Bytes of log since the last snapshot.
    log_bytes: u64,
    /// Bytes of log that make the next snapshot due.
    bound_bytes: u64,
    /// When the encoding in progress started; `None` if there is none.
    encoding_since_ms: Option<u64>,
}

impl SnapshotSchedule {
    /// Creates the schedule of a member that read `log_bytes` bytes of log at its start.
    pub fn new(own: MemberId, log_bytes: u64) -> Self {
        let bound_bytes = spread_bound(own, LOG_BYTES);
        SnapshotSchedule { log_bytes, bound_bytes, encoding_since_ms: None }
    }

    pub fn set_spread_bound(&mut self, own: MemberId, bound_bytes: u64) {
        self.bound_bytes = spread_bound(own, bound_bytes);
    }

    pub fn set_bound(&mut self, bound_bytes: u64) {
        self.bound_bytes = bound_bytes;
    }

    pub fn set_log_bytes(&mut self, log_bytes: u64) {
        self.log_bytes = log_bytes;
    }

    pub fn on_append(&mut self, size_bytes: u64) {
        self.log_bytes += size_bytes;
    }

    /// Returns whether there is enough log and no encoding in progress. An encoding without a
    /// result for `SNAPSHOT_ENCODE_MAX_MS` counts as ended.
    pub fn is_due(&self, now_ms: u64) -> bool {
        let is_encoding =
            self.encoding_since_ms.is_some_and(|ms| now_ms < ms + SNAPSHOT_ENCODE_MAX_MS);
        !is_encoding && self.log_bytes >= self.bound_bytes
    }

    pub fn on_encoding_started(&mut self, now_ms: u64) {
        self.encoding_since_ms = Some(now_ms);
    }

    pub fn on_encoded(&mut self) {
        self.encoding_since_ms = None;
    }
}

/// Returns a bound that differs among members, so that they don't all write a snapshot at the same
/// time.
fn spread_bound(own: MemberId, bound_bytes: u64) -> u64 {
    bound_bytes + own % LOG_SPREAD * (bound_bytes / LOG_SPREAD)
}
