use postbarrow_constants::nodes::*;
use std::collections::VecDeque;

/// How often pages may be asked for: learnt from a refusal, then kept below it.
pub(crate) struct PollRate {
    gap_ms: u64,
    /// The list's owner allows no smaller gap.
    min_gap_ms: u64,
    start_ms: u64,
    requested_ms: u64,
    changed_ms: u64,
    requests_ms: VecDeque<u64>,
    pub refusals: u64,
}

impl PollRate {
    pub fn new(now_ms: u64, min_gap_ms: u64) -> Self {
        PollRate {
            gap_ms: min_gap_ms,
            min_gap_ms,
            start_ms: now_ms,
            requested_ms: 0,
            changed_ms: now_ms,
            requests_ms: VecDeque::new(),
            refusals: 0,
        }
    }

    pub fn from_handover(now_ms: u64, min_gap_ms: u64, gap_ms: u64, requested_ms: &[u64]) -> Self {
        let mut rate = PollRate::new(now_ms, min_gap_ms);
        rate.gap_ms = gap_ms.clamp(min_gap_ms, LIST_GAP_MAX_MS.max(min_gap_ms));
        rate.requests_ms =
            requested_ms.iter().map(|ago_ms| now_ms.saturating_sub(*ago_ms)).collect();
        rate.requested_ms = rate.requests_ms.back().copied().unwrap_or(0);
        rate
    }

    pub fn request_ages_ms(&self, now_ms: u64) -> Vec<u64> {
        self.requests_ms.iter().map(|at_ms| now_ms.saturating_sub(*at_ms)).collect()
    }

    pub fn min_gap_ms(&self) -> u64 {
        self.min_gap_ms
    }

    pub fn gap_ms(&self) -> u64 {
        self.gap_ms
    }

    /// Who knows nothing yet is in a hurry, as long as the list never refused.
    pub fn permits(&self, now_ms: u64, urgent: bool) -> bool {
        let may_hurry = urgent && self.refusals == 0 && self.min_gap_ms == LIST_GAP_MS;
        let min_wait_ms = if may_hurry { LIST_FIRST_SCAN_GAP_MS } else { self.gap_ms };
        now_ms >= self.requested_ms + min_wait_ms
            && self.requests_in_window(now_ms) < LIST_WINDOW_MS.div_ceil(self.gap_ms)
    }

    fn requests_in_window(&self, now_ms: u64) -> u64 {
        self.requests_ms.iter().filter(|at_ms| now_ms < **at_ms + LIST_WINDOW_MS).count() as u64
    }

    pub fn on_request(&mut self, now_ms: u64) {
        self.requested_ms = now_ms;
        self.requests_ms.push_back(now_ms);
        while self.requests_ms.front().is_some_and(|at_ms| now_ms >= at_ms + LIST_WINDOW_MS) {
            self.requests_ms.pop_front();
        }
    }

    /// The list took one fewer than were asked for within its window. At first another controller
    /// may have asked as well, so that says nothing yet.
    pub fn refused(&mut self, now_ms: u64) {
        self.refusals += 1;
        let accepted = self.requests_in_window(now_ms).saturating_sub(1).max(1);
        let gap_ms = LIST_WINDOW_MS.div_ceil(accepted) * 21 / 20;
        self.requests_ms.clear();
        if now_ms >= self.start_ms + 2 * LIST_WINDOW_MS {
            let max_ms = LIST_GAP_MAX_MS.min(2 * self.gap_ms);
            self.gap_ms = self.gap_ms.max(gap_ms).min(max_ms);
            self.changed_ms = now_ms;
        }
    }

    /// A pace too slow for what it is needed for is tried a little quicker, but seldom.
    pub fn relax(&mut self, now_ms: u64) {
        if now_ms >= self.changed_ms + LIST_GAP_DECREASE_MS {
            self.changed_ms = now_ms;
            self.gap_ms = (self.gap_ms * 9 / 10).max(self.min_gap_ms);
        }
    }
}

#[cfg(test)]
mod tests;
