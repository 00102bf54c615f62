//! One pass after another over the pages of the endpoint list.

use super::absence::AbsenceTracker;
use super::handover::{ReceivedHandover, ScanHandover};
use super::page::ListPage;
use super::poll_rate::PollRate;
use super::scan_timing::ScanTiming;
use crate::error::Error;
use postbarrow_constants::nodes::*;
use postbarrow_state::{Name, Target};

/// One page of the present scan: requested, then read.
struct Page {
    number: u64,
    cursor: Option<String>,
    requested_ms: u64,
    read: Option<ListPage>,
}

/// What one page amounts to.
pub(crate) enum PageOutcome {
    /// It belongs to no page that is awaited.
    Stale,
    /// Its rows, while the scan goes on.
    Incomplete(Vec<Target>),
    /// The scan's last page: besides its rows, who is no longer listed, and who may not be.
    Complete { rows: Vec<Target>, gone: Vec<Name>, doubtful: Vec<Name> },
}

/// Scans the endpoint list over and over. Pages whose cursors are known from the last scan are
/// requested concurrently; the cursors on the pages then decide which of them count.
pub(crate) struct EndpointListScan {
    /// The number of the last fetch.
    number: u64,
    pages: Vec<Page>,
    /// Cursors of the last complete scan, page by page.
    cursors: Vec<Option<String>>,
    fetches_ahead: bool,
    /// Failed pages of the present scan.
    failures: u32,
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

    /// When the last complete scan without doubtful rows ended, since the leader's lease was gained.
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

    /// Continues where the former leader stopped.
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

    /// Starts as if nothing were known of the list.
    pub fn start_anew(&mut self, now_ms: u64) {
        self.restart(now_ms);
        self.completed_ms = None;
    }

    /// An incomplete scan removes no target: its pages are dropped.
    fn restart(&mut self, due_ms: u64) {
        self.timing.schedule(due_ms);
        self.failures = 0;
        self.pages.clear();
    }

    /// Number and cursor of the next page to request, if it is due.
    pub fn next(&mut self, now_ms: u64) -> Option<(u64, Option<String>)> {
        let in_flight = self.pages.iter().filter(|page| page.read.is_none()).count();
        if !self.timing.is_due(now_ms)
            || in_flight >= LIST_IN_FLIGHT
            || !self.poll_rate.permits(now_ms, self.completed_ms.is_none())
        {
            return None;
        }
        let cursor = match self.pages.last() {
            None => None,
            Some(Page { read: Some(read), .. }) => Some(read.next.clone()?),
            Some(_) if !self.fetches_ahead => return None,
            Some(_) => Some(self.cursors.get(self.pages.len())?.clone()?),
        };
        if self.pages.is_empty() {
            self.timing.on_scan_started(now_ms);
        }
        self.number += 1;
        self.poll_rate.on_request(now_ms);
        let page = Page { number: self.number, cursor, requested_ms: now_ms, read: None };
        let request = (page.number, page.cursor.clone());
        self.pages.push(page);
        Some(request)
    }

    fn position(&self, number: u64) -> Option<usize> {
        self.pages.iter().position(|page| page.number == number && page.read.is_none())
    }

    /// A page that takes far longer than others did restarts the scan. Returns whether one did.
    pub fn restart_if_page_overdue(&mut self, now_ms: u64) -> bool {
        let is_overdue = |page: &Page| {
            page.read.is_none() && self.timing.is_page_overdue(now_ms, page.requested_ms)
        };
        let has_overdue_page = self.pages.iter().any(is_overdue);
        if has_overdue_page {
            self.timing.on_page_overdue();
            self.absences.on_failure();
            self.restart(now_ms);
        }
        has_overdue_page
    }

    /// The list refused a page: it is requested again when the list permits, and pages more slowly
    /// from then on. Returns whether the page was awaited.
    pub fn on_limited(&mut self, now_ms: u64, number: u64, wait_ms: u64) -> bool {
        let Some(at) = self.position(number) else { return false };
        self.pages.truncate(at);
        self.poll_rate.refused(now_ms);
        self.timing.schedule(now_ms + wait_ms.clamp(LIST_PAUSE_MS, LIST_RETRY_MAX_MS));
        true
    }

    /// A failed page is requested again, a few times a scan. Returns whether it counts as a failure:
    /// one that was fetched ahead, by a cursor of an earlier scan, says nothing of this one.
    pub fn on_failed(&mut self, now_ms: u64, number: u64) -> bool {
        let Some(at) = self.position(number) else { return false };
        if at > 0 && self.pages[at - 1].read.is_none() {
            self.pages.truncate(at);
            self.fetches_ahead = false;
            return false;
        }
        self.absences.on_failure();
        self.failures += 1;
        if self.failures > LIST_PAGE_RETRIES {
            self.fail(now_ms);
        } else {
            self.pages.truncate(at);
        }
        true
    }

    fn fail(&mut self, now_ms: u64) {
        self.absences.on_failure();
        self.fetches_ahead = true;
        self.restart(now_ms + LIST_RETRY_MS);
    }

    /// Takes a page that was read. `known` are the targets in the state.
    ///
    /// # Errors
    /// The pages have no end; the scan starts again after a pause.
    pub fn on_page(
        &mut self,
        now_ms: u64,
        number: u64,
        page: ListPage,
        known: &[Name],
    ) -> Result<PageOutcome, Error> {
        let Some(at) = self.position(number) else { return Ok(PageOutcome::Stale) };
        let rows = self.with_draining_rows(&page);
        self.store_page(now_ms, at, page);
        if let Some(error) = self.endless_pages(at) {
            self.fail(now_ms);
            return Err(error);
        }
        if !self.is_complete() {
            return Ok(PageOutcome::Incomplete(rows));
        }
        let (gone, doubtful) = self.complete(now_ms, known);
        Ok(PageOutcome::Complete { rows, gone, doubtful })
    }

    /// The page's rows; a target that any page of this scan lists as draining is draining.
    fn with_draining_rows(&self, page: &ListPage) -> Vec<Target> {
        let is_draining = |row: &Target| row.draining || self.is_listed_as_draining(&row.instance);
        let rows = page.targets.iter();
        rows.map(|row| Target { draining: is_draining(row), ..row.clone() }).collect()
    }

    fn is_listed_as_draining(&self, instance: &Name) -> bool {
        let read = self.pages.iter().filter_map(|page| page.read.as_ref());
        read.flat_map(|page| &page.targets).any(|row| row.draining && row.instance == *instance)
    }

    /// Pages that were fetched ahead by another cursor than this page names are dropped.
    fn store_page(&mut self, now_ms: u64, at: usize, page: ListPage) {
        self.timing.on_page(now_ms.saturating_sub(self.pages[at].requested_ms));
        if self.pages.get(at + 1).is_some_and(|after| after.cursor != page.next) {
            self.pages.truncate(at + 1);
        }
        self.pages[at].read = Some(page);
    }

    /// Why the scan would never end, if so, once the page at this position is read.
    fn endless_pages(&self, at: usize) -> Option<Error> {
        let next = self.pages[at].read.as_ref().and_then(|page| page.next.as_ref());
        if next.is_some() && self.pages[..=at].iter().any(|page| page.cursor.as_ref() == next) {
            return Some(Error::CursorCycle);
        }
        (self.pages.len() > LIST_PAGES).then_some(Error::NoLastPage)
    }

    fn is_complete(&self) -> bool {
        let last = self.pages.last().and_then(|page| page.read.as_ref());
        last.is_some_and(|read| read.next.is_none())
            && self.pages.iter().all(|page| page.read.is_some())
    }

    /// Returns who is no longer listed, and who may not be. Doubtful targets need another scan,
    /// which starts at once.
    fn complete(&mut self, now_ms: u64, known: &[Name]) -> (Vec<Name>, Vec<Name>) {
        let read: Vec<&ListPage> =
            self.pages.iter().filter_map(|page| page.read.as_ref()).collect();
        let absence = self.absences.on_scan(&read, known);
        self.cursors = self.pages.iter().map(|page| page.cursor.clone()).collect();
        self.fetches_ahead = true;
        self.timing.on_scan_completed(now_ms, self.pages.len(), self.poll_rate.gap_ms());
        if absence.doubtful.is_empty() {
            self.completed_ms = Some(now_ms);
            self.restart(self.timing.next_start_ms(now_ms));
        } else {
            self.restart(now_ms);
        }
        if self.leave_bound_ms() > DRAIN_BOUND_MS {
            self.poll_rate.relax(now_ms);
        }
        (absence.gone, absence.doubtful)
    }
}
