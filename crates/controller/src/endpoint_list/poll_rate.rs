//! The rate at which pages of the endpoint list are requested.

use postbarrow_constants::nodes::*;
use std::collections::VecDeque;

/// Limits the rate of requests for pages. The minimum time between two requests (the gap) is
/// derived from the list's refusals, with a margin so that the list's rate limit is not exceeded
/// again.
pub(crate) struct PollRate {
    /// Current minimum time between two requests.
    gap_ms: u64,
    /// Lower bound of `gap_ms`, from the settings.
    min_gap_ms: u64,
    /// When this node started to poll the list, or received the former leader's handover.
    start_ms: u64,
    last_request_ms: u64,
    /// When the gap last changed.
    gap_changed_ms: u64,
    /// Times of the requests within the list's last window, oldest first.
    recent_requests_ms: VecDeque<u64>,
    /// Number of requests that the list refused because of its rate limit.
    refusals: u64,
}

impl PollRate {
    pub fn new(now_ms: u64, min_gap_ms: u64) -> Self {
        PollRate {
            gap_ms: min_gap_ms,
            min_gap_ms,
            start_ms: now_ms,
            last_request_ms: 0,
            gap_changed_ms: now_ms,
            recent_requests_ms: VecDeque::new(),
            refusals: 0,
        }
    }

    /// Continues with the gap of the former leader, and with its recent requests, given by their
    /// ages in milliseconds, oldest first.
    pub fn from_handover(now_ms: u64, min_gap_ms: u64, gap_ms: u64, ages_ms: &[u64]) -> Self {
        let mut rate = PollRate::new(now_ms, min_gap_ms);
        rate.gap_ms = gap_ms.clamp(min_gap_ms, LIST_GAP_MAX_MS.max(min_gap_ms));
        rate.recent_requests_ms =
            ages_ms.iter().map(|age_ms| now_ms.saturating_sub(*age_ms)).collect();
        rate.last_request_ms = rate.recent_requests_ms.back().copied().unwrap_or(0);
        rate
    }

    /// Returns how long ago each of the recent requests was sent, oldest first.
    pub fn request_ages_ms(&self, now_ms: u64) -> Vec<u64> {
        self.recent_requests_ms.iter().map(|at_ms| now_ms.saturating_sub(*at_ms)).collect()
    }

    pub fn min_gap_ms(&self) -> u64 {
        self.min_gap_ms
    }

    /// Returns the number of requests that the list refused because of its rate limit.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }

    pub fn gap_ms(&self) -> u64 {
        self.gap_ms
    }

    /// Returns whether a page may be requested now. `urgent` allows a smaller gap until the first
    /// refusal, while nothing is known about the list's rate limit, unless the settings name a gap.
    pub fn permits(&self, now_ms: u64, urgent: bool) -> bool {
        let allows_small_gap = urgent && self.refusals == 0 && self.min_gap_ms == LIST_GAP_MS;
        let min_wait_ms = if allows_small_gap { LIST_FIRST_SCAN_GAP_MS } else { self.gap_ms };
        now_ms >= self.last_request_ms + min_wait_ms
            && self.requests_in_window(now_ms) < LIST_WINDOW_MS.div_ceil(self.gap_ms)
    }

    fn requests_in_window(&self, now_ms: u64) -> u64 {
        self.recent_requests_ms.iter().filter(|at_ms| now_ms < **at_ms + LIST_WINDOW_MS).count()
            as u64
    }

    pub fn on_request(&mut self, now_ms: u64) {
        self.last_request_ms = now_ms;
        self.recent_requests_ms.push_back(now_ms);
        while self.recent_requests_ms.front().is_some_and(|at_ms| now_ms >= at_ms + LIST_WINDOW_MS)
        {
            self.recent_requests_ms.pop_front();
        }
    }

    /// Increases the gap after the list refused a request: it accepted one request fewer than were
    /// sent within its window. The gap stays as it is shortly after the start, when an earlier
    /// leader's requests may have counted as well.
    pub fn on_refusal(&mut self, now_ms: u64) {
        self.refusals += 1;
        let accepted = self.requests_in_window(now_ms).saturating_sub(1).max(1);
        let gap_ms = LIST_WINDOW_MS.div_ceil(accepted) * 21 / 20;
        self.recent_requests_ms.clear();
        if now_ms >= self.start_ms + 2 * LIST_WINDOW_MS {
            let max_ms = LIST_GAP_MAX_MS.min(2 * self.gap_ms);
            self.gap_ms = self.gap_ms.max(gap_ms).min(max_ms);
            self.gap_changed_ms = now_ms;
        }
    }

    /// Shortens the gap by a tenth, at most once in `LIST_GAP_DECREASE_MS`. Called while the rate
    /// is too low to keep `DRAIN_BOUND_MS`.
    pub fn decrease_gap(&mut self, now_ms: u64) {
        if now_ms >= self.gap_changed_ms + LIST_GAP_DECREASE_MS {
            self.gap_changed_ms = now_ms;
            self.gap_ms = (self.gap_ms * 9 / 10).max(self.min_gap_ms);
        }
    }
}

#[cfg(test)]
mod tests;
