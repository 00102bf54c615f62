//! How often the endpoint list is requested.

use postbarrow_constants::nodes::*;
use std::collections::VecDeque;

/// The gap between requests for pages: learnt from a refusal, and larger than that from then on.
pub(crate) struct PollRate {
    gap_ms: u64,
    /// The gap of the settings; never a smaller one.
    min_gap_ms: u64,
    start_ms: u64,
    requested_ms: u64,
    changed_ms: u64,
    requests_ms: VecDeque<u64>,
    refusals: u64,
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

    /// How often the list refused.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }

    pub fn gap_ms(&self) -> u64 {
        self.gap_ms
    }

    /// `urgent` allows a smaller gap, until the first refusal: nothing is known of the list yet.
    pub fn permits(&self, now_ms: u64, urgent: bool) -> bool {
        let allows_small_gap = urgent && self.refusals == 0 && self.min_gap_ms == LIST_GAP_MS;
        let min_wait_ms = if allows_small_gap { LIST_FIRST_SCAN_GAP_MS } else { self.gap_ms };
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

    /// The list accepted one fewer than the requests within its window. At first another leader may
    /// have sent requests as well, so the gap stays as it is.
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

    /// A rate too slow for the users' bound is raised a little, rarely.
    pub fn relax(&mut self, now_ms: u64) {
        if now_ms >= self.changed_ms + LIST_GAP_DECREASE_MS {
            self.changed_ms = now_ms;
            self.gap_ms = (self.gap_ms * 9 / 10).max(self.min_gap_ms);
        }
    }
}

#[cfg(test)]
mod tests;
