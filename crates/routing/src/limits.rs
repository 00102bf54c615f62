use postbarrow_state::Route;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    Rate,
    Concurrency,
}

/// This node's share of a route's rate and concurrency.
#[derive(Debug)]
pub struct RouteLimits {
    rate_per_s: Option<u64>,
    concurrency: Option<u64>,
    milli_asks: AtomicI64,
    refilled_ms: AtomicU64,
    in_flight: AtomicU64,
}

impl RouteLimits {
    pub fn new(route: &Route) -> Self {
        RouteLimits {
            rate_per_s: route.rate_per_s,
            concurrency: route.concurrency,
            milli_asks: AtomicI64::new(0),
            refilled_ms: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
        }
    }

    pub fn enter(&self, now_ms: u64, nodes: u64) -> Result<(), LimitExceeded> {
        let nodes = nodes.max(1);
        if let Some(most) = self.concurrency {
            let share = most.div_ceil(nodes);
            let entered =
                self.in_flight.fetch_update(Relaxed, Relaxed, |at| (at < share).then_some(at + 1));
            entered.map_err(|_| LimitExceeded::Concurrency)?;
        } else {
            self.in_flight.fetch_add(1, Relaxed);
        }
        if let Some(rate) = self.rate_per_s
            && !self.take(now_ms, rate, nodes)
        {
            self.leave();
            return Err(LimitExceeded::Rate);
        }
        Ok(())
    }

    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }

    pub fn leave(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    fn take(&self, now_ms: u64, rate: u64, nodes: u64) -> bool {
        let most = (rate * 1_000 / nodes).max(1_000) as i64;
        let since_ms = self.refilled_ms.load(Relaxed);
        let past_ms = if since_ms == 0 { 1_000 } else { now_ms.saturating_sub(since_ms) };
        let more = (rate * past_ms.min(1_000) / nodes) as i64;
        let due = more > 0;
        if due && self.refilled_ms.compare_exchange(since_ms, now_ms, Relaxed, Relaxed).is_ok() {
            let _ = self
                .milli_asks
                .fetch_update(Relaxed, Relaxed, |saved| Some((saved + more).min(most)));
        }
        self.milli_asks
            .fetch_update(Relaxed, Relaxed, |saved| (saved >= 1_000).then(|| saved - 1_000))
            .is_ok()
    }
}
