//! The start times of scans and the timeout of their pages, adapted to the duration of earlier
//! scans.

use postbarrow_constants::nodes::*;
use postbarrow_constants::plans::DRAIN_TRANSACTION_WAIT_MS;

/// Times and durations of the endpoint-list scan, in milliseconds.
pub(crate) struct ScanTiming {
    /// Time from which the next page may be requested.
    due_ms: u64,
    /// Start of the current scan.
    start_ms: u64,
    /// Timeout of a page.
    page_wait_ms: u64,
    /// Time from the start of one scan to the start of the next; 0 before the first complete scan.
    cycle_ms: u64,
    /// Duration of the slowest page of the current scan so far.
    slowest_page_ms: u64,
    /// Duration of the slowest page of the last complete scan.
    last_slowest_page_ms: u64,
}

impl ScanTiming {
    pub fn new(now_ms: u64) -> Self {
        ScanTiming {
            due_ms: now_ms,
            start_ms: now_ms,
            page_wait_ms: LIST_PAGE_FIRST_WAIT_MS,
            cycle_ms: 0,
            slowest_page_ms: 0,
            last_slowest_page_ms: 0,
        }
    }

    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.due_ms
    }

    pub fn schedule(&mut self, due_ms: u64) {
        self.due_ms = due_ms;
    }

    pub fn on_scan_started(&mut self, now_ms: u64) {
        self.start_ms = now_ms;
    }

    pub fn is_page_overdue(&self, now_ms: u64, requested_ms: u64) -> bool {
        now_ms > requested_ms + self.page_wait_ms
    }

    /// Doubles the timeout of a page, up to `LIST_PAGE_WAIT_MS`, to adapt to a slow list.
    pub fn on_page_overdue(&mut self) {
        self.page_wait_ms = (2 * self.page_wait_ms).min(LIST_PAGE_WAIT_MS);
    }

    pub fn on_page(&mut self, duration_ms: u64) {
        self.slowest_page_ms = self.slowest_page_ms.max(duration_ms);
    }

    /// Records that a scan is complete. `page_count` is the number of its pages, and `gap_ms` the
    /// minimum time between two requests.
    pub fn on_scan_completed(&mut self, now_ms: u64, page_count: usize, gap_ms: u64) {
        let duration_ms = now_ms.saturating_sub(self.start_ms);
        self.cycle_ms =
            LIST_SCAN_INTERVAL_MS.max(page_count as u64 * gap_ms).max(duration_ms + LIST_PAUSE_MS);
        self.last_slowest_page_ms = std::mem::take(&mut self.slowest_page_ms);
        self.page_wait_ms =
            (4 * self.last_slowest_page_ms).clamp(LIST_PAGE_FIRST_WAIT_MS, LIST_PAGE_WAIT_MS);
    }

    /// Returns the start time of the scan after the current one.
    pub fn next_start_ms(&self, now_ms: u64) -> u64 {
        (now_ms + LIST_PAUSE_MS).max(self.start_ms + LIST_SCAN_INTERVAL_MS)
    }

    /// Returns the longest time from when the list shows a target as draining to the last request
    /// sent to that target, given the current speed of the list.
    pub fn leave_bound_ms(&self) -> u64 {
        self.cycle_ms
            + self.last_slowest_page_ms
            + DRAIN_TRANSACTION_WAIT_MS
            + COMMIT_ALLOWANCE_MS
            + NODE_LEASE_MS
    }
}
