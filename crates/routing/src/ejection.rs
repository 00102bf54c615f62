//! Ejection: which targets are passed over for a while, and for how long.
//!
//! | event | pause |
//! | --- | --- |
//! | a failure: no connection, or no complete response | [`EJECTION_MS`] (1 s), doubled by each failure in a row, at most [`EJECTION_MAX_MS`] (8 s) |
//! | a rejection: the target says that it did not run the request | [`REJECTION_PAUSE_MS`] (200 ms), never shortening a longer pause |
//! | a complete response | ends the pause and the row of failures |
//!
//! A target that fails again soon after its pause is unlikely to be back, hence the doubling; the
//! maximum bounds how long a target that recovered goes unused. A rejecting target is full and not
//! unhealthy, hence the short pause. Selection ignores ejections where all untried targets are
//! ejected: an attempt at an ejected target is better than none.

use postbarrow_constants::traffic::{EJECTION_MAX_MS, EJECTION_MS, REJECTION_PAUSE_MS};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Doublings beyond this would overflow, and are far above the maximum.
const DOUBLINGS_MAX: u64 = 16;

/// Whether one target is passed over, as this node observed its attempts there.
#[derive(Debug, Default)]
pub struct Ejection {
    until_ms: AtomicU64,
    failures_in_a_row: AtomicU64,
}

impl Ejection {
    /// Ejects the target after a failed attempt, twice as long as after the failure before.
    pub fn on_failure(&self, now_ms: u64) {
        let earlier = self.failures_in_a_row.fetch_add(1, Relaxed).min(DOUBLINGS_MAX);
        let pause_ms = (EJECTION_MS << earlier).min(EJECTION_MAX_MS);
        self.until_ms.store(now_ms + pause_ms, Relaxed);
    }

    /// Passes over the target briefly after it rejected a request for lack of capacity.
    pub fn on_rejection(&self, now_ms: u64) {
        let until_ms = now_ms + REJECTION_PAUSE_MS;
        self.until_ms.fetch_max(until_ms, Relaxed);
    }

    /// Ends the pause and the row of failures after a complete response.
    pub fn on_success(&self) {
        self.failures_in_a_row.store(0, Relaxed);
        self.until_ms.store(0, Relaxed);
    }

    /// Whether the target is passed over now.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms.load(Relaxed)
    }
}
