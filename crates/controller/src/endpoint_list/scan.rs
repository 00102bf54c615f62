//! Repeated scans of all pages of the endpoint list.

use super::absence::AbsenceTracker;
use super::handover::{ReceivedHandover, ScanHandover};
use super::page::ListPage;
use super::poll_rate::PollRate;
use super::scan_timing::ScanTiming;
use crate::error::Error;
use postbarrow_constants::nodes::*;
use postbarrow_state::{Name, Target};

/// One requested page of the current scan.
struct Page {
    /// Number of the fetch.
    number: u64,
    /// Cursor of the page; `None` for the first one.
    cursor: Option<String>,
    requested_ms: u64,
    /// Content of the page; `None` until it has arrived.
    content: Option<ListPage>,
}

/// The outcome of one page that was received.
pub(crate) enum PageOutcome {
    /// The scan no longer waits for this page.
    Stale,
    /// Rows of the page; the scan is not complete yet.
    Incomplete(Vec<Target>),
    /// Rows of the page that completed the scan, and the known targets that the scan did not find:
    /// those that are no longer listed, and those that may still be.
    Complete { rows: Vec<Target>, removed: Vec<Name>, unconfirmed: Vec<Name> },
}

/// Scans the endpoint list repeatedly. Pages whose cursors are known from the last scan are
/// requested concurrently. When a page arrives, pages that were requested with another cursor than
/// it names are dropped.
pub(crate) struct EndpointListScan {
    /// Number of the last fetch.
    number: u64,
    /// Pages of the current scan that were requested, in the list's order.
    pages: Vec<Page>,
    /// Cursors of the pages of the last complete scan, in their order.
    cursors: Vec<Option<String>>,
    /// Whether pages are requested by the last scan's cursors before the previous page has arrived.
    fetches_ahead: bool,
    /// Number of failed pages of the current scan.
    failures: u32,
    /// When the last complete scan without unconfirmed targets ended, here or by the former
    /// leader's handover; `None` if none is known since this node gained the leader's lease.
    completed_ms: Option<u64>,
    poll_rate: PollRate,
    absences: AbsenceTracker,
    timing: ScanTiming,
}

impl EndpointListScan {
    pub fn new(now_ms: u64, gap_ms: u64) -> Self {
        EndpointListScan {
            number: 0,
            pages: Vec::new(),
            cursors: Vec::new(),
            fetches_ahead: true,
            failures: 0,
            completed_ms: None,
            poll_rate: PollRate::new(now_ms, gap_ms),
            absences: AbsenceTracker::default(),
            timing: ScanTiming::new(now_ms),
        }
    }

    /// Returns when the last complete scan without unconfirmed targets ended, here or by the former
    /// leader's handover; `None` if none is known since this node gained the leader's lease.
    pub fn completed_ms(&self) -> Option<u64> {
        self.completed_ms
    }

    pub fn poll_rate(&self) -> &PollRate {
        &self.poll_rate
    }

    pub fn leave_bound_ms(&self) -> u64 {
        self.timing.leave_bound_ms()
    }

    pub fn handover_state(&self, now_ms: u64) -> ScanHandover {
        ScanHandover {
            completed_age_ms: self
                .completed_ms
                .map(|completed_ms| now_ms.saturating_sub(completed_ms)),
            order: self.absences.order().to_vec(),
            cursors: self.cursors.clone(),
            gap_ms: self.poll_rate.gap_ms(),
            recent_request_ages_ms: self.poll_rate.request_ages_ms(now_ms),
        }
    }

    /// Continues from the state that the former leader handed over.
    pub fn continue_from(&mut self, received: ReceivedHandover) {
        let ReceivedHandover { at_ms, scan: handover } = received;
        self.poll_rate = PollRate::from_handover(
            at_ms,
            self.poll_rate.min_gap_ms(),
            handover.gap_ms,
            &handover.recent_request_ages_ms,
        );
        self.absences.set_order(handover.order);
        self.cursors = handover.cursors;
        self.completed_ms = handover.completed_age_ms.map(|age_ms| at_ms.saturating_sub(age_ms));
        self.restart(at_ms);
    }

    /// Starts a scan as if none had been completed.
    pub fn reset(&mut self, now_ms: u64) {
        self.restart(now_ms);
        self.completed_ms = None;
    }

    /// Drops the pages of the current scan and starts another at `due_ms`. An incomplete scan
    /// removes no target.
    fn restart(&mut self, due_ms: u64) {
        self.timing.schedule(due_ms);
        self.failures = 0;
        self.pages.clear();
    }

    /// Returns number and cursor of the next page to request; `None` if no request is due.
    pub fn next_fetch(&mut self, now_ms: u64) -> Option<(u64, Option<String>)> {
        let in_flight = self.pages.iter().filter(|page| page.content.is_none()).count();
        if !self.timing.is_due(now_ms)
            || in_flight >= LIST_IN_FLIGHT
            || !self.poll_rate.permits(now_ms, self.completed_ms.is_none())
        {
            return None;
        }
        let cursor = match self.pages.last() {
            None => None,
            Some(Page { content: Some(content), .. }) => Some(content.next.clone()?),
            Some(_) if !self.fetches_ahead => return None,
            Some(_) => Some(self.cursors.get(self.pages.len())?.clone()?),
        };
        if self.pages.is_empty() {
            self.timing.on_scan_started(now_ms);
        }
        self.number += 1;
        self.poll_rate.on_request(now_ms);
        let page = Page { number: self.number, cursor, requested_ms: now_ms, content: None };
        let request = (page.number, page.cursor.clone());
        self.pages.push(page);
        Some(request)
    }

    /// Returns the position in the scan of the page that was requested by this fetch and has not
    /// arrived yet.
    fn pending_position(&self, number: u64) -> Option<usize> {
        self.pages.iter().position(|page| page.number == number && page.content.is_none())
    }

    /// Restarts the scan if a page has not arrived within its timeout, which depends on the
    /// slowest page of the last scan. Returns whether it did.
    pub fn restart_if_page_overdue(&mut self, now_ms: u64) -> bool {
        let is_overdue = |page: &Page| {
            page.content.is_none() && self.timing.is_page_overdue(now_ms, page.requested_ms)
        };
        let has_overdue_page = self.pages.iter().any(is_overdue);
        if has_overdue_page {
            self.timing.on_page_overdue();
            self.absences.on_failure();
            self.restart(now_ms);
        }
        has_overdue_page
    }

    /// Handles a page that the list refused because of its rate limit: it is requested again after
    /// `wait_ms`, which the list stated, but at least `LIST_PAUSE_MS` and at most
    /// `LIST_RETRY_MAX_MS`. Pages are requested at a lower rate from then on. Returns whether the
    /// scan was waiting for the page.
    pub fn on_limited(&mut self, now_ms: u64, number: u64, wait_ms: u64) -> bool {
        let Some(at) = self.pending_position(number) else { return false };
        self.pages.truncate(at);
        self.poll_rate.on_refusal(now_ms);
        self.timing.schedule(now_ms + wait_ms.clamp(LIST_PAUSE_MS, LIST_RETRY_MAX_MS));
        true
    }

    /// Requests a failed page again; after `LIST_PAGE_RETRIES` retries in a scan, the scan is
    /// abandoned. Returns whether the page counts as a failure: one that was fetched ahead by a
    /// cursor of an earlier scan doesn't, since that cursor may be outdated.
    pub fn on_failed(&mut self, now_ms: u64, number: u64) -> bool {
        let Some(at) = self.pending_position(number) else { return false };
        if at > 0 && self.pages[at - 1].content.is_none() {
            self.pages.truncate(at);
            self.fetches_ahead = false;
            return false;
        }
        self.absences.on_failure();
        self.failures += 1;
        if self.failures > LIST_PAGE_RETRIES {
            self.abandon_scan(now_ms);
        } else {
            self.pages.truncate(at);
        }
        true
    }

    /// Abandons the scan; the next one starts after a pause.
    fn abandon_scan(&mut self, now_ms: u64) {
        self.absences.on_failure();
        self.fetches_ahead = true;
        self.restart(now_ms + LIST_RETRY_MS);
    }

    /// Adds a page that has arrived to the scan. `known` are the instances of the targets in the
    /// state.
    ///
    /// # Errors
    /// The pages have no end. The scan starts again after a pause.
    pub fn on_page(
        &mut self,
        now_ms: u64,
        number: u64,
        page: ListPage,
        known: &[Name],
    ) -> Result<PageOutcome, Error> {
        let Some(at) = self.pending_position(number) else { return Ok(PageOutcome::Stale) };
        let rows = self.rows_with_draining_marks(&page);
        self.store_page(now_ms, at, page);
        if let Some(error) = self.pagination_error(at) {
            self.abandon_scan(now_ms);
            return Err(error);
        }
        if !self.is_complete() {
            return Ok(PageOutcome::Incomplete(rows));
        }
        let (removed, unconfirmed) = self.end_complete_scan(now_ms, known);
        Ok(PageOutcome::Complete { rows, removed, unconfirmed })
    }

    /// Returns the page's rows. A target that any page of this scan lists as draining is marked as
    /// draining.
    fn rows_with_draining_marks(&self, page: &ListPage) -> Vec<Target> {
        let is_draining = |row: &Target| row.draining || self.is_listed_as_draining(&row.instance);
        let rows = page.targets.iter();
        rows.map(|row| Target { draining: is_draining(row), ..row.clone() }).collect()
    }

    fn is_listed_as_draining(&self, instance: &Name) -> bool {
        let pages = self.pages.iter().filter_map(|page| page.content.as_ref());
        pages.flat_map(|page| &page.targets).any(|row| row.draining && row.instance == *instance)
    }

    /// Stores a page that has arrived, and drops the following pages if they were fetched ahead by
    /// another cursor than this page names.
    fn store_page(&mut self, now_ms: u64, at: usize, page: ListPage) {
        self.timing.on_page(now_ms.saturating_sub(self.pages[at].requested_ms));
        if self.pages.get(at + 1).is_some_and(|after| after.cursor != page.next) {
            self.pages.truncate(at + 1);
        }
        self.pages[at].content = Some(page);
    }

    /// Returns why the scan would not end, after the page at this position was stored; `None` if
    /// nothing shows that.
    fn pagination_error(&self, at: usize) -> Option<Error> {
        let next = self.pages[at].content.as_ref().and_then(|page| page.next.as_ref());
        if next.is_some() && self.pages[..=at].iter().any(|page| page.cursor.as_ref() == next) {
            return Some(Error::CursorCycle);
        }
        (self.pages.len() > LIST_PAGES_MAX).then_some(Error::NoLastPage)
    }

    fn is_complete(&self) -> bool {
        let last = self.pages.last().and_then(|page| page.content.as_ref());
        last.is_some_and(|content| content.next.is_none())
            && self.pages.iter().all(|page| page.content.is_some())
    }

    /// Ends a complete scan. Returns the targets that are no longer listed, and those whose removal
    /// is unconfirmed. The latter need another scan, which starts at once.
    fn end_complete_scan(&mut self, now_ms: u64, known: &[Name]) -> (Vec<Name>, Vec<Name>) {
        let pages: Vec<&ListPage> =
            self.pages.iter().filter_map(|page| page.content.as_ref()).collect();
        let absence = self.absences.on_scan(&pages, known);
        self.cursors = self.pages.iter().map(|page| page.cursor.clone()).collect();
        self.fetches_ahead = true;
        self.timing.on_scan_completed(now_ms, self.pages.len(), self.poll_rate.gap_ms());
        if absence.unconfirmed.is_empty() {
            self.completed_ms = Some(now_ms);
            self.restart(self.timing.next_start_ms(now_ms));
        } else {
            self.restart(now_ms);
        }
        if self.leave_bound_ms() > DRAIN_BOUND_MS {
            self.poll_rate.decrease_gap(now_ms);
        }
        (absence.removed, absence.unconfirmed)
    }
}
