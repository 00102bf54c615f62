//! What the leader has of the endpoint list: its scan, deferred changes and findings.

use super::deferred_change::DeferredChange;
use super::handover::{ReceivedHandover, ScanHandover};
use super::page::read_page;
use super::scan::{EndpointListScan, PageOutcome};
use crate::error::Error;
use crate::{Fetched, PageResult};
use postbarrow_constants::nodes::DRAIN_BOUND_MS;
use postbarrow_state::{Name, State};
use std::collections::VecDeque;

/// How far a fetched page brought the scan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollProgress {
    /// The list refused a page that is not awaited: nothing follows.
    Ignored,
    /// The next page may be requested.
    Advanced,
    /// A scan is complete.
    Completed,
}

/// Polls the endpoint list while this node leads.
pub(crate) struct EndpointListPoller {
    scan: EndpointListScan,
    changes: VecDeque<DeferredChange>,
    /// Why the last scan failed, for operators; none once one is complete.
    finding: Option<String>,
    /// Whether the leave bound is over the users' bound, as last logged.
    is_slow: bool,
}

impl EndpointListPoller {
    pub fn new(now_ms: u64, gap_ms: u64) -> Self {
        EndpointListPoller {
            scan: EndpointListScan::new(now_ms, gap_ms),
            changes: VecDeque::new(),
            finding: None,
            is_slow: false,
        }
    }

    /// When the last complete scan ended, since the leader's lease was gained.
    pub fn completed_ms(&self) -> Option<u64> {
        self.scan.completed_ms()
    }

    pub fn finding(&self) -> Option<&str> {
        self.finding.as_deref()
    }

    pub fn leave_bound_ms(&self) -> u64 {
        self.scan.leave_bound_ms()
    }

    /// How often the list refused for its rate limit.
    pub fn refusals(&self) -> u64 {
        self.scan.poll_rate().refusals()
    }

    pub fn handover_state(&self, now_ms: u64) -> ScanHandover {
        self.scan.handover_state(now_ms)
    }

    /// What the list showed without the lease is unknown, unless the former leader sent it.
    pub fn on_lease_gained(&mut self, now_ms: u64, handover: Option<ReceivedHandover>) {
        match handover {
            Some(handover) => self.scan.continue_from(handover),
            None => self.scan.start_anew(now_ms),
        }
    }

    /// # Errors
    /// A page is overdue; the scan starts again.
    pub fn check_overdue_page(&mut self, now_ms: u64) -> Result<(), Error> {
        let is_overdue = self.scan.restart_if_page_overdue(now_ms);
        if is_overdue { Err(Error::PageTimeout) } else { Ok(()) }
    }

    /// Number and cursor of the next page to request, if it is due.
    pub fn next_fetch(&mut self, now_ms: u64) -> Option<(u64, Option<String>)> {
        self.scan.next(now_ms)
    }

    /// Takes the result of a fetch; what it changes in this state is deferred.
    ///
    /// # Errors
    /// A failure that operators are to know of.
    pub fn on_fetched(
        &mut self,
        now_ms: u64,
        result: PageResult,
        state: &State,
    ) -> Result<PollProgress, Error> {
        let number = result.number;
        let page = match result.fetched {
            Fetched::Page(bytes) => read_page(&bytes).map_err(Error::InvalidPage),
            Fetched::Listed(page) => Ok(page),
            Fetched::Failed(reason) => Err(Error::FetchFailed(reason)),
            Fetched::Limited { wait_ms } => return self.on_limited(now_ms, number, wait_ms),
        };
        let page = match page {
            Ok(page) => page,
            Err(error) => {
                let counts = self.scan.on_failed(now_ms, number);
                return if counts { Err(error) } else { Ok(PollProgress::Advanced) };
            }
        };
        let known: Vec<Name> = state.targets.keys().cloned().collect();
        match self.scan.on_page(now_ms, number, page, &known)? {
            PageOutcome::Stale => Ok(PollProgress::Advanced),
            PageOutcome::Incomplete(rows) => {
                self.changes.push_back(DeferredChange::of_rows(now_ms, state, rows));
                Ok(PollProgress::Advanced)
            }
            PageOutcome::Complete { rows, gone, doubtful } => {
                self.finding = None;
                let change = DeferredChange::of_scan(now_ms, state, rows, gone, doubtful);
                self.changes.push_back(change);
                Ok(PollProgress::Completed)
            }
        }
    }

    fn on_limited(
        &mut self,
        now_ms: u64,
        number: u64,
        wait_ms: u64,
    ) -> Result<PollProgress, Error> {
        if self.scan.on_limited(now_ms, number, wait_ms) {
            Err(Error::RateLimited { gap_ms: self.scan.poll_rate().gap_ms() })
        } else {
            Ok(PollProgress::Ignored)
        }
    }

    /// Whether a change has waited too long for the open transaction.
    pub fn has_overdue_change(&self, now_ms: u64) -> bool {
        self.changes.iter().any(|change| change.is_overdue(now_ms))
    }

    pub fn next_change(&mut self) -> Option<DeferredChange> {
        self.changes.pop_front()
    }

    /// Returns the text of a finding that differs from the last one.
    pub fn record_finding(&mut self, error: &Error) -> Option<String> {
        let text = error.to_string();
        if self.finding.as_ref() == Some(&text) {
            return None;
        }
        self.finding = Some(text.clone());
        Some(text)
    }

    /// Whether the list has become too slow for the users' bound, or quick again; none while that
    /// has not changed.
    pub fn update_slowness(&mut self) -> Option<bool> {
        let is_slow = self.leave_bound_ms() > DRAIN_BOUND_MS;
        let has_changed = is_slow != self.is_slow;
        self.is_slow = is_slow;
        has_changed.then_some(is_slow)
    }
}
