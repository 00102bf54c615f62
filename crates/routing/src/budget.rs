use postbarrow_constants::traffic::*;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};

const ONE_GO: i64 = 100_000;

/// This node's share of the fleet's extra goes to one service, in thousandths of a per cent of a go.
#[derive(Debug, Default)]
pub struct Budget {
    extra: Extra,
    saved: AtomicI64,
    refilledMs: AtomicU64,
}

/// Extra goes of the whole fleet to one service: per cent of its asks, a second beside, saved up.
#[derive(Clone, Copy, Debug)]
pub struct Extra {
    pub percent: u64,
    pub perS: u64,
    pub saved: u64,
}

impl Default for Extra {
    fn default() -> Self {
        Extra { percent: EXTRA_GOES_PERCENT, perS: EXTRA_GOES_PER_S, saved: EXTRA_GOES_SAVED }
    }
}

impl Budget {
    pub fn new(extra: Extra) -> Budget {
        Budget { extra, ..Budget::default() }
    }

    pub fn on_ask(&self, nodes: u64) {
        self.add((self.extra.percent as i64) * ONE_GO / 100, nodes);
    }

    fn add(&self, amount: i64, nodes: u64) {
        let most = (self.extra.saved as i64 * ONE_GO / nodes.max(1) as i64).max(ONE_GO);
        let _ = self.saved.fetch_update(Relaxed, Relaxed, |saved| Some((saved + amount).min(most)));
    }

    /// Takes one extra go if the budget has it.
    pub fn take(&self, nowMs: u64, nodes: u64) -> bool {
        let sinceMs = self.refilledMs.load(Relaxed);
        let pastMs = nowMs.saturating_sub(sinceMs);
        let first = sinceMs == 0;
        if (first || pastMs >= 100)
            && self.refilledMs.compare_exchange(sinceMs, nowMs, Relaxed, Relaxed).is_ok()
        {
            let perMs = self.extra.perS as i64 * ONE_GO / 1_000;
            let pastMs = if first { 1_000 } else { pastMs.min(60_000) };
            self.add(perMs * pastMs as i64 / nodes.max(1) as i64, nodes);
        }
        self.saved
            .fetch_update(Relaxed, Relaxed, |saved| (saved >= ONE_GO).then(|| saved - ONE_GO))
            .is_ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn extra_goes_stay_near_a_fifth_plus_a_small_allowance() {
        let nodes = 12;
        let fleet: Vec<Budget> = (0..nodes).map(|_| Budget::default()).collect();
        let mut taken = 0;
        let asks = 30_000;
        for ask in 0..asks {
            let nowMs = 1 + ask * 2;
            let node = &fleet[(ask % nodes) as usize];
            node.on_ask(nodes);
            for _ in 0..3 {
                taken += u64::from(node.take(nowMs, nodes));
            }
        }
        let seconds = asks * 2 / 1_000;
        let most = asks / 5 + seconds * EXTRA_GOES_PER_S + nodes + EXTRA_GOES_SAVED;
        assert!(taken <= most, "{taken} of at most {most}");
        assert!(taken >= asks / 5, "the share itself is there: {taken}");
    }
}
