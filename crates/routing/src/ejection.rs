//! Ejection: which targets selection skips for a while, and for how long.
//!
//! | event | duration of the ejection |
//! | --- | --- |
//! | a failure: no connection, or no complete response | [`EJECTION_MS`] (1 s), doubled by each consecutive failure, at most [`EJECTION_MAX_MS`] (8 s) |
//! | a rejection: the target says that it did not run the request | [`REJECTION_EJECTION_MS`] (200 ms); never shortens a longer ejection |
//! | a complete response | ends the ejection and resets the count of consecutive failures |
//!
//! The duration doubles because a target that fails again soon after its ejection has probably not
//! recovered; the maximum bounds how long a recovered target gets no requests. The ejection after a
//! rejection is short because a rejecting target is full, not unhealthy. Selection ignores
//! ejections if all untried targets are ejected: an attempt at an ejected target is better than
//! none.

use postbarrow_constants::traffic::{EJECTION_MAX_MS, EJECTION_MS, REJECTION_EJECTION_MS};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Largest number of doublings: more would overflow, and this many already exceed the maximum by
/// far.
const DOUBLINGS_MAX: u64 = 16;

/// The ejection of one target, by the results of this node's attempts at it.
#[derive(Debug, Default)]
pub struct Ejection {
    until_ms: AtomicU64,
    consecutive_failures: AtomicU64,
}

impl Ejection {
    /// Ejects the target after a failed attempt, for twice as long as after the previous
    /// consecutive failure.
    pub fn on_failure(&self, now_ms: u64) {
        let earlier = self.consecutive_failures.fetch_add(1, Relaxed).min(DOUBLINGS_MAX);
        let duration_ms = (EJECTION_MS << earlier).min(EJECTION_MAX_MS);
        self.until_ms.store(now_ms + duration_ms, Relaxed);
    }

    /// Ejects the target briefly after it rejected a request for lack of capacity.
    pub fn on_rejection(&self, now_ms: u64) {
        let until_ms = now_ms + REJECTION_EJECTION_MS;
        self.until_ms.fetch_max(until_ms, Relaxed);
    }

    /// Ends the ejection and resets the count of consecutive failures, after a complete response.
    pub fn on_success(&self) {
        self.consecutive_failures.store(0, Relaxed);
        self.until_ms.store(0, Relaxed);
    }

    /// Returns whether selection skips the target now.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms.load(Relaxed)
    }
}
