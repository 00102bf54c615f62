//! Retry budget: whether a further attempt at a service is allowed.
//!
//! Retries of the whole fleet to one service may be [`RETRY_PERCENT`] (20 %) of its requests, and
//! [`RETRIES_PER_S`] (1) a second beside; up to [`RETRY_BURST`] (10) are saved up. Each of `n` nodes
//! has an `n`th of it, and can always save one retry. The percentage bounds what a failing service
//! gets on top of its requests, so that retries do not keep it from recovering; the retries by time
//! let quiet services retry at all.

use postbarrow_constants::traffic::{RETRIES_PER_S, RETRY_BURST, RETRY_PERCENT};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};

/// One retry in the units that are saved, fine enough for a per cent of a node's part.
const ONE_RETRY: i64 = 100_000;
/// The allowance by time is added at most so often.
const REFILL_MS: u64 = 100;
/// The first refill counts as so much time.
const FIRST_REFILL_MS: u64 = 1_000;
/// A refill counts no more time than this.
const REFILL_MAX_MS: u64 = 60_000;

/// This node's part of the fleet's retries at one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    /// In parts of [`ONE_RETRY`].
    saved: AtomicI64,
    refilled_ms: AtomicU64,
}

/// Retries that the whole fleet may make at one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    /// Per cent of the service's requests.
    pub percent: u64,
    /// Retries a second, whatever the requests.
    pub per_s: u64,
    /// Retries that can be saved up.
    pub saved: u64,
}

impl Default for RetryAllowance {
    fn default() -> Self {
        RetryAllowance { percent: RETRY_PERCENT, per_s: RETRIES_PER_S, saved: RETRY_BURST }
    }
}

impl RetryBudget {
    /// A budget with nothing saved.
    pub fn new(allowance: RetryAllowance) -> RetryBudget {
        RetryBudget { allowance, ..RetryBudget::default() }
    }

    /// Adds a request's per cent; each request counts once, whatever its attempts.
    pub fn on_request(&self, nodes: u64) {
        self.add((self.allowance.percent as i64) * ONE_RETRY / 100, nodes);
    }

    /// Takes one retry if the budget has it.
    pub fn take(&self, now_ms: u64, nodes: u64) -> bool {
        self.refill(now_ms, nodes);
        self.saved
            .fetch_update(Relaxed, Relaxed, |saved| (saved >= ONE_RETRY).then(|| saved - ONE_RETRY))
            .is_ok()
    }

    /// Adds this node's part of the allowance by time; of several threads one does so.
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
