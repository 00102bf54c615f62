use postbarrow_state::Route;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    Rate,
    Concurrency,
}

/// This node's share of a route's rate and concurrency.
#[derive(Debug)]
pub struct Limits {
    ratePerS: Option<u64>,
    concurrency: Option<u64>,
    milliAsks: AtomicI64,
    refilledMs: AtomicU64,
    atWork: AtomicU64,
}

impl Limits {
    pub fn new(route: &Route) -> Self {
        Limits {
            ratePerS: route.ratePerS,
            concurrency: route.concurrency,
            milliAsks: AtomicI64::new(0),
            refilledMs: AtomicU64::new(0),
            atWork: AtomicU64::new(0),
        }
    }

    pub fn enter(&self, nowMs: u64, nodes: u64) -> Result<(), Refusal> {
        let nodes = nodes.max(1);
        if let Some(most) = self.concurrency {
            let share = most.div_ceil(nodes);
            let entered =
                self.atWork.fetch_update(Relaxed, Relaxed, |at| (at < share).then_some(at + 1));
            entered.map_err(|_| Refusal::Concurrency)?;
        } else {
            self.atWork.fetch_add(1, Relaxed);
        }
        if let Some(rate) = self.ratePerS
            && !self.take(nowMs, rate, nodes)
        {
            self.leave();
            return Err(Refusal::Rate);
        }
        Ok(())
    }

    pub fn at_work(&self) -> u64 {
        self.atWork.load(Relaxed)
    }

    pub fn leave(&self) {
        self.atWork.fetch_sub(1, Relaxed);
    }

    fn take(&self, nowMs: u64, rate: u64, nodes: u64) -> bool {
        let most = (rate * 1_000 / nodes).max(1_000) as i64;
        let sinceMs = self.refilledMs.load(Relaxed);
        let pastMs = if sinceMs == 0 { 1_000 } else { nowMs.saturating_sub(sinceMs) };
        let more = (rate * pastMs.min(1_000) / nodes) as i64;
        let due = more > 0;
        if due && self.refilledMs.compare_exchange(sinceMs, nowMs, Relaxed, Relaxed).is_ok() {
            let _ = self
                .milliAsks
                .fetch_update(Relaxed, Relaxed, |saved| Some((saved + more).min(most)));
        }
        self.milliAsks
            .fetch_update(Relaxed, Relaxed, |saved| (saved >= 1_000).then(|| saved - 1_000))
            .is_ok()
    }
}
