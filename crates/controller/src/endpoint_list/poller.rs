//! The leader's poller of the endpoint list: its scan, deferred changes and last finding.

use super::deferred_change::DeferredChange;
use super::handover::{ReceivedHandover, ScanHandover};
use super::page::read_page;
use super::scan::{EndpointListScan, PageOutcome};
use crate::error::Error;
use crate::{Fetched, PageResult};
use postbarrow_constants::nodes::DRAIN_BOUND_MS;
use postbarrow_state::{Name, State};
use std::collections::VecDeque;

/// The progress of the scan after a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollProgress {
    /// The list refused a page that the scan no longer waits for; nothing is to be done.
    Ignored,
    /// The scan continues; the next page may be requested.
    Advanced,
    /// The fetched page completed a scan.
    Completed,
}

/// Polls the endpoint list while this node is the leader.
pub(crate) struct EndpointListPoller {
    scan: EndpointListScan,
    /// Changes that are not proposed yet, oldest first.
    changes: VecDeque<DeferredChange>,
    /// Text of the last failure, for operators; `None` if a scan was completed since.
    finding: Option<String>,
    /// Whether `leave_bound_ms` exceeded `DRAIN_BOUND_MS`, which the users require, when last
    /// checked.
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

    /// Returns when the last complete scan without unconfirmed targets ended, here or by the former
    /// leader's handover; `None` if none is known since this node gained the leader's lease.
    pub fn completed_ms(&self) -> Option<u64> {
        self.scan.completed_ms()
    }

    pub fn finding(&self) -> Option<&str> {
        self.finding.as_deref()
    }

    pub fn leave_bound_ms(&self) -> u64 {
        self.scan.leave_bound_ms()
    }

    /// Returns the number of requests that the list refused because of its rate limit.
    pub fn refusals(&self) -> u64 {
        self.scan.poll_rate().refusals()
    }

    pub fn handover_state(&self, now_ms: u64) -> ScanHandover {
        self.scan.handover_state(now_ms)
    }

    /// Continues from the former leader's handover. Without one, the list's content is unknown, and
    /// the scan starts from the beginning.
    pub fn on_lease_gained(&mut self, now_ms: u64, handover: Option<ReceivedHandover>) {
        match handover {
            Some(handover) => self.scan.continue_from(handover),
            None => self.scan.reset(now_ms),
        }
    }

    /// Restarts the scan if a page has not arrived within its timeout.
    ///
    /// # Errors
    /// A page is overdue.
    pub fn check_overdue_page(&mut self, now_ms: u64) -> Result<(), Error> {
        let is_overdue = self.scan.restart_if_page_overdue(now_ms);
        if is_overdue { Err(Error::PageTimeout) } else { Ok(()) }
    }

    /// Returns number and cursor of the next page to request; `None` if no request is due.
    pub fn next_fetch(&mut self, now_ms: u64) -> Option<(u64, Option<String>)> {
        self.scan.next_fetch(now_ms)
    }

    /// Handles the result of a fetch. The changes that it makes to this state are deferred.
    ///
    /// # Errors
    /// A failure to report to operators.
    pub fn on_fetched(
        &mut self,
        now_ms: u64,
        result: PageResult,
        state: &State,
    ) -> Result<PollProgress, Error> {
        let number = result.number;
        let page = match result.fetched {
            Fetched::Page(bytes) => read_page(&bytes).map_err(Error::InvalidPage),
            Fetched::Parsed(page) => Ok(page),
            Fetched::Failed(reason) => Err(Error::FetchFailed(reason)),
            Fetched::RateLimited { wait_ms } => return self.on_limited(now_ms, number, wait_ms),
        };
        let page = match page {
            Ok(page) => page,
            Err(error) => {
                let is_failure = self.scan.on_failed(now_ms, number);
                return if is_failure { Err(error) } else { Ok(PollProgress::Advanced) };
            }
        };
        let known: Vec<Name> = state.targets.keys().cloned().collect();
        match self.scan.on_page(now_ms, number, page, &known)? {
            PageOutcome::Stale => Ok(PollProgress::Advanced),
            PageOutcome::Incomplete(rows) => {
                self.changes.push_back(DeferredChange::from_rows(now_ms, state, rows));
                Ok(PollProgress::Advanced)
            }
            PageOutcome::Complete { rows, removed, unconfirmed } => {
                self.finding = None;
                let change = DeferredChange::from_scan(now_ms, state, rows, removed, unconfirmed);
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

    /// Returns whether a change has been deferred too long by the open transaction.
    pub fn has_overdue_change(&self, now_ms: u64) -> bool {
        self.changes.iter().any(|change| change.is_overdue(now_ms))
    }

    /// Removes and returns the oldest deferred change.
    pub fn next_change(&mut self) -> Option<DeferredChange> {
        self.changes.pop_front()
    }

    /// Stores the error's text as the finding. Returns the text if it differs from the last one.
    pub fn record_finding(&mut self, error: &Error) -> Option<String> {
        let text = error.to_string();
        if self.finding.as_ref() == Some(&text) {
            return None;
        }
        self.finding = Some(text.clone());
        Some(text)
    }

    /// Returns whether the list is now too slow to keep `DRAIN_BOUND_MS`; `None` if that has not
    /// changed since the last check.
    pub fn check_drain_bound(&mut self) -> Option<bool> {
        let is_slow = self.leave_bound_ms() > DRAIN_BOUND_MS;
        let has_changed = is_slow != self.is_slow;
        self.is_slow = is_slow;
        has_changed.then_some(is_slow)
    }
}
