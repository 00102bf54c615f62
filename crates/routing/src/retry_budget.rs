use postbarrow_constants::traffic::*;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};

const ONE_GO: i64 = 100_000;

/// This node's share of the fleet's extra goes to one service, in thousandths of a per cent of a go.
#[derive(Debug, Default)]
pub struct RetryBudget {
    extra: RetryAllowance,
    saved: AtomicI64,
    refilled_ms: AtomicU64,
}

/// Retries of the whole fleet to one service: per cent of its requests, a second beside, saved up.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    pub percent: u64,
    pub per_s: u64,
    pub saved: u64,
}

impl Default for RetryAllowance {
    fn default() -> Self {
        RetryAllowance { percent: RETRY_PERCENT, per_s: RETRIES_PER_S, saved: RETRY_BURST }
    }
}

impl RetryBudget {
    pub fn new(extra: RetryAllowance) -> RetryBudget {
        RetryBudget { extra, ..RetryBudget::default() }
    }

    pub fn on_request(&self, nodes: u64) {
        self.add((self.extra.percent as i64) * ONE_GO / 100, nodes);
    }

    fn add(&self, amount: i64, nodes: u64) {
        let most = (self.extra.saved as i64 * ONE_GO / nodes.max(1) as i64).max(ONE_GO);
        let _ = self.saved.fetch_update(Relaxed, Relaxed, |saved| Some((saved + amount).min(most)));
    }

    /// Takes one retry if the budget has it.
    pub fn take(&self, now_ms: u64, nodes: u64) -> bool {
        let since_ms = self.refilled_ms.load(Relaxed);
        let past_ms = now_ms.saturating_sub(since_ms);
        let first = since_ms == 0;
        if (first || past_ms >= 100)
            && self.refilled_ms.compare_exchange(since_ms, now_ms, Relaxed, Relaxed).is_ok()
        {
            let per_ms = self.extra.per_s as i64 * ONE_GO / 1_000;
            let past_ms = if first { 1_000 } else { past_ms.min(60_000) };
            self.add(per_ms * past_ms as i64 / nodes.max(1) as i64, nodes);
        }
        self.saved
            .fetch_update(Relaxed, Relaxed, |saved| (saved >= ONE_GO).then(|| saved - ONE_GO))
            .is_ok()
    }
}

#[cfg(test)]
mod tests;
