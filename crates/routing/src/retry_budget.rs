//! Retry budget: whether another attempt at a service is allowed.
//!
//! The whole fleet may retry [`RETRY_PERCENT`] (20 %) of a service's requests, plus
//! [`RETRIES_PER_S`] (1) retry a second; up to [`RETRY_BURST`] (10) unused retries are saved. A
//! node adds the percentage of its own requests. Of the rate and the saved retries, each of `n`
//! nodes has an `n`th, but can always save one retry. The percentage bounds the additional load on
//! a failing service, so that retries do not keep it from recovering. The rate allows retries at
//! services with few requests.

use postbarrow_constants::traffic::{RETRIES_PER_S, RETRY_BURST, RETRY_PERCENT};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};

/// One retry in the unit in which retries are saved: small enough to count one percent of a retry,
/// and a node's part of the rate.
const ONE_RETRY: i64 = 100_000;
/// Shortest interval between two refills by time.
const REFILL_MS: u64 = 100;
/// The time for which the first refill adds retries.
const FIRST_REFILL_MS: u64 = 1_000;
/// The longest time for which one refill adds retries.
const REFILL_MAX_MS: u64 = 60_000;

/// This node's part of the fleet's retry allowance for one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    /// Saved retries, in a unit of which [`ONE_RETRY`] make one retry.
    saved: AtomicI64,
    /// Time of the last refill; 0 before the first.
    refilled_ms: AtomicU64,
}

/// The retries that the whole fleet may make at one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    /// Retries in percent of the service's requests.
    pub percent: u64,
    /// Additional retries per second, independent of the requests.
    pub per_s: u64,
    /// Largest number of unused retries that are saved.
    pub saved: u64,
}

impl Default for RetryAllowance {
    fn default() -> Self {
        RetryAllowance { percent: RETRY_PERCENT, per_s: RETRIES_PER_S, saved: RETRY_BURST }
    }
}

impl RetryBudget {
    /// Creates a budget without saved retries.
    pub fn new(allowance: RetryAllowance) -> RetryBudget {
        RetryBudget { allowance, ..RetryBudget::default() }
    }

    /// Adds the percentage of one request; called once per request, however many attempts it has.
    pub fn on_request(&self, nodes: u64) {
        self.add((self.allowance.percent as i64) * ONE_RETRY / 100, nodes);
    }

    /// Takes one retry from the budget; returns whether one was available.
    pub fn take(&self, now_ms: u64, nodes: u64) -> bool {
        self.refill(now_ms, nodes);
        self.saved
            .fetch_update(Relaxed, Relaxed, |saved| (saved >= ONE_RETRY).then(|| saved - ONE_RETRY))
            .is_ok()
    }

    /// Adds this node's part of the rate for the time since the last refill. If several threads
    /// refill at once, only one of them adds it.
    fn refill(&self, now_ms: u64, nodes: u64) {
        let since_ms = self.refilled_ms.load(Relaxed);
        let elapsed_ms = now_ms.saturating_sub(since_ms);
        let is_first = since_ms == 0;
        if (is_first || elapsed_ms >= REFILL_MS)
            && self.refilled_ms.compare_exchange(since_ms, now_ms, Relaxed, Relaxed).is_ok()
        {
            let per_ms = self.allowance.per_s as i64 * ONE_RETRY / 1_000;
            let counted_ms = if is_first { FIRST_REFILL_MS } else { elapsed_ms.min(REFILL_MAX_MS) };
            self.add(per_ms * counted_ms as i64 / nodes.max(1) as i64, nodes);
        }
    }

    fn add(&self, amount: i64, nodes: u64) {
        let max = (self.allowance.saved as i64 * ONE_RETRY / nodes.max(1) as i64).max(ONE_RETRY);
        let _ = self.saved.fetch_update(Relaxed, Relaxed, |saved| Some((saved + amount).min(max)));
    }
}

#[cfg(test)]
mod tests;
