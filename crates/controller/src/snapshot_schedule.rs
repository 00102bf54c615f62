//! When the next snapshot is due.

use postbarrow_consensus::MemberId;
use postbarrow_constants::consensus::{LOG_BYTES, LOG_SPREAD, SNAPSHOT_ENCODE_MAX_MS};

/// Counts the log since the last snapshot, and whether one is being encoded.
pub(crate) struct SnapshotSchedule {
    /// Bytes of log after the last snapshot.
    log_bytes: u64,
    /// So many bytes make the next snapshot due.
    bound_bytes: u64,
    encoding_since_ms: Option<u64>,
}

impl SnapshotSchedule {
    /// For a member that read so many bytes of log at its start.
    pub fn new(own: MemberId, log_bytes: u64) -> Self {
        let bound_bytes = spread(own, LOG_BYTES);
        SnapshotSchedule { log_bytes, bound_bytes, encoding_since_ms: None }
    }

    pub fn set_spread_bound(&mut self, own: MemberId, bound_bytes: u64) {
        self.bound_bytes = spread(own, bound_bytes);
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

    /// Enough log, and no encoding that may still end.
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

/// The bound differs among members, so that they don't all write a slot at once.
fn spread(own: MemberId, bound_bytes: u64) -> u64 {
    bound_bytes + own % LOG_SPREAD * (bound_bytes / LOG_SPREAD)
}
