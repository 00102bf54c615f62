mod absence;

use crate::leadership_transfer::{ReceivedHandover, ScanHandover};
use crate::list_page::ListPage;
use crate::poll_rate::PollRate;
use postbarrow_constants::nodes::*;
use postbarrow_state::{Name, Target};
use std::collections::BTreeMap;

/// One page of the present walk: asked for, then read.
struct Page {
    number: u64,
    cursor: Option<String>,
    requested_ms: u64,
    read: Option<ListPage>,
}

/// What one page, taken in, amounts to.
pub(crate) enum PageOutcome {
    Stale,
    Incomplete(Vec<Target>),
    /// The walk's last piece: besides the page's rows, who is no longer listed, and who may not be.
    Complete {
        rows: Vec<Target>,
        gone: Vec<Name>,
        doubtful: Vec<Name>,
    },
    Failed(String),
}

/// Walks the platform's list over and over. Pages whose cursors the last walk told are asked for
/// beside each other; what the cursors then say decides which of them count.
pub(crate) struct EndpointListScan {
    number: u64,
    due_ms: u64,
    start_ms: u64,
    pages: Vec<Page>,
    /// Cursors and rows, page by page, of the last whole walk.
    chain: Vec<Option<String>>,
    order: Vec<Name>,
    /// Missing from the last whole walks, but not for certain: from how many.
    suspects: BTreeMap<Name, u8>,
    /// Walks in a row that were whole and found less than half of what was known.
    shrunk_walks: u8,
    fetches_ahead: bool,
    failures: u32,
    pub poll_rate: PollRate,
    pub completed_ms: Option<u64>,
    wait_ms: u64,
    cycle_ms: u64,
    page_ms: u64,
    slowest_ms: u64,
    pub finding: Option<String>,
}

impl EndpointListScan {
    pub fn new(now_ms: u64, gap_ms: u64) -> Self {
        EndpointListScan {
            number: 0,
            due_ms: now_ms,
            start_ms: now_ms,
            pages: Vec::new(),
            chain: Vec::new(),
            order: Vec::new(),
            suspects: BTreeMap::new(),
            shrunk_walks: 0,
            fetches_ahead: true,
            failures: 0,
            poll_rate: PollRate::new(now_ms, gap_ms),
            completed_ms: None,
            wait_ms: LIST_PAGE_FIRST_WAIT_MS,
            cycle_ms: 0,
            page_ms: 0,
            slowest_ms: 0,
            finding: None,
        }
    }

    pub fn handover_state(&self, now_ms: u64) -> ScanHandover {
        ScanHandover {
            completed_age_ms: self
                .completed_ms
                .map(|completed_ms| now_ms.saturating_sub(completed_ms)),
            order: self.order.clone(),
            chain: self.chain.clone(),
            gap_ms: self.poll_rate.gap_ms(),
            recent_request_ages_ms: self.poll_rate.request_ages_ms(now_ms),
        }
    }

    /// Goes on where the controller before left off.
    pub fn continue_from(&mut self, received: ReceivedHandover) {
        let ReceivedHandover { at_ms, scan: handover } = received;
        self.poll_rate = PollRate::from_handover(
            at_ms,
            self.poll_rate.min_gap_ms(),
            handover.gap_ms,
            &handover.recent_request_ages_ms,
        );
        self.order = handover.order;
        self.chain = handover.chain;
        self.completed_ms = handover.completed_age_ms.map(|age_ms| at_ms.saturating_sub(age_ms));
        self.restart(at_ms);
    }

    pub fn start_anew(&mut self, now_ms: u64) {
        self.restart(now_ms);
        self.completed_ms = None;
    }

    /// A half walk removes nobody: what it found so far is dropped.
    pub fn restart(&mut self, due_ms: u64) {
        self.due_ms = due_ms;
        self.failures = 0;
        self.pages.clear();
    }

    /// The next page to ask for, if its time has come.
    pub fn next(&mut self, now_ms: u64) -> Option<(u64, Option<String>)> {
        let in_flight = self.pages.iter().filter(|page| page.read.is_none()).count();
        if now_ms < self.due_ms
            || in_flight >= LIST_IN_FLIGHT
            || !self.poll_rate.permits(now_ms, self.completed_ms.is_none())
        {
            return None;
        }
        let cursor = match self.pages.last() {
            None => None,
            Some(Page { read: Some(read), .. }) => Some(read.next.clone()?),
            Some(_) if !self.fetches_ahead => return None,
            Some(_) => Some(self.chain.get(self.pages.len())?.clone()?),
        };
        if self.pages.is_empty() {
            self.start_ms = now_ms;
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

    /// A page that takes far longer than others did is asked for again; a slow list is given more.
    pub fn restart_if_page_overdue(&mut self, now_ms: u64) -> bool {
        let wait_ms = self.wait_ms;
        let is_overdue = |page: &Page| page.read.is_none() && now_ms > page.requested_ms + wait_ms;
        let is_stuck = self.pages.iter().any(is_overdue);
        if is_stuck {
            self.wait_ms = (2 * wait_ms).min(LIST_PAGE_WAIT_MS);
            self.shrunk_walks = 0;
            self.restart(now_ms);
        }
        is_stuck
    }

    /// Refused for now: asked for again when the list permits, slower from then on.
    pub fn on_limited(&mut self, now_ms: u64, number: u64, wait_ms: u64) -> bool {
        let Some(at) = self.position(number) else { return false };
        self.pages.truncate(at);
        self.poll_rate.refused(now_ms);
        self.due_ms = now_ms + wait_ms.clamp(LIST_PAUSE_MS, LIST_RETRY_MAX_MS);
        true
    }

    /// A page that failed is asked for again, a few times a walk. One that only a remembered cursor
    /// named says nothing of this walk. A list in trouble says little: short answers around a
    /// failure are not in a row.
    pub fn on_failed(&mut self, now_ms: u64, number: u64, reason: String) -> Option<String> {
        let at = self.position(number)?;
        if at > 0 && self.pages[at - 1].read.is_none() {
            self.pages.truncate(at);
            self.fetches_ahead = false;
            return None;
        }
        self.shrunk_walks = 0;
        self.failures += 1;
        if self.failures > LIST_PAGE_RETRIES {
            self.fail(now_ms);
        } else {
            self.pages.truncate(at);
        }
        Some(reason)
    }

    fn fail(&mut self, now_ms: u64) {
        self.shrunk_walks = 0;
        self.fetches_ahead = true;
        self.restart(now_ms + LIST_RETRY_MS);
    }

    pub fn on_page(
        &mut self,
        now_ms: u64,
        number: u64,
        listed: ListPage,
        known: &[Name],
    ) -> PageOutcome {
        let Some(at) = self.position(number) else { return PageOutcome::Stale };
        let is_draining = |row: &Target| row.draining || self.is_departing(&row.instance);
        let rows: Vec<Target> = listed
            .targets
            .iter()
            .map(|row| Target { draining: is_draining(row), ..row.clone() })
            .collect();
        let next = listed.next.clone();
        self.page_ms = self.page_ms.max(now_ms.saturating_sub(self.pages[at].requested_ms));
        if self.pages.get(at + 1).is_some_and(|after| after.cursor != next) {
            self.pages.truncate(at + 1);
        }
        self.pages[at].read = Some(listed);
        let pages_so_far = &self.pages[..=at];
        if next.is_some() && pages_so_far.iter().any(|page| page.cursor == next) {
            self.fail(now_ms);
            return PageOutcome::Failed("its cursors go round".into());
        }
        if self.pages.len() > LIST_PAGES {
            self.fail(now_ms);
            return PageOutcome::Failed("has no last page".into());
        }
        let last = self.pages.last().and_then(|page| page.read.as_ref());
        let reaches_end = last.is_some_and(|read| read.next.is_none());
        if !reaches_end || self.pages.iter().any(|page| page.read.is_none()) {
            return PageOutcome::Incomplete(rows);
        }
        let (gone, doubtful) = self.complete(now_ms, known);
        PageOutcome::Complete { rows, gone, doubtful }
    }
}
