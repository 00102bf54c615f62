//! What clients were told and what targets ran: the record that every check compares.

use crate::orders::OrderLedger;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    Ran,
    NotRun,
    Unknown,
    Pending,
    Unreached,
}

/// Requests by the end that their client saw last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    pub ran: usize,
    pub not_run: usize,
    pub unknown: usize,
    /// Another request with the same key was at work.
    pub pending: usize,
    /// No node took the request.
    pub unreached: usize,
    /// The node that took it ended first.
    pub unanswered: usize,
    /// The client left before any answer.
    pub departed: usize,
}

impl OutcomeCounts {
    /// All requests, each counted once.
    pub fn total(&self) -> usize {
        let answered = self.ran + self.not_run + self.unknown + self.pending;
        answered + self.unreached + self.unanswered + self.departed
    }

    /// Both together.
    #[must_use]
    pub fn plus(self, other: OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            ran: self.ran + other.ran,
            not_run: self.not_run + other.not_run,
            unknown: self.unknown + other.unknown,
            pending: self.pending + other.pending,
            unreached: self.unreached + other.unreached,
            unanswered: self.unanswered + other.unanswered,
            departed: self.departed + other.departed,
        }
    }
}

#[derive(Default)]
struct RequestRecord {
    one_time: bool,
    /// Sent twice at once under one key: what one go is told says nothing of the other.
    doubled: bool,
    outcomes: Vec<ClientOutcome>,
    /// A client of it left without an answer.
    client_departed: bool,
    runs: Vec<Run>,
}

/// One run at a target.
struct Run {
    instance: String,
    /// Which of the sends under this id it was.
    attempt: u64,
}

/// What clients were told and what targets ran, compared at every entry.
#[derive(Default)]
pub struct Ledger {
    records: BTreeMap<u64, RequestRecord>,
    pub violations: Vec<String>,
    pub forwards: u64,
    pub ran_us: Vec<u64>,
    /// Plans acknowledged: when, and the offset at which they began.
    pub in_force: Vec<(u64, u64)>,
    /// Plans refused or rehearsed only: version and number of routes, which data nodes know of one.
    pub refused: BTreeSet<(String, usize)>,
    pub orders: OrderLedger,
    pub committed: BTreeMap<u64, u64>,
    pub longest_leave_us: u64,
}

impl Ledger {
    pub fn violate(&mut self, text: String) {
        if self.violations.len() < 50 {
            self.violations.push(text);
        }
    }

    pub fn record_request(&mut self, id: u64, one_time: bool) {
        self.records.entry(id).or_default().one_time = one_time;
    }

    pub fn doubled(&mut self, id: u64) {
        self.records.entry(id).or_default().doubled = true;
    }

    /// A target ran a request, in the go of this number.
    pub fn ran(&mut self, id: u64, attempt: u64, instance: &str, kind: &str, service: &str) {
        let mut found = Vec::new();
        if kind != service {
            found.push(format!("{instance} got request {id} of {service}"));
        }
        match self.records.get_mut(&id) {
            None => found.push(format!("{instance} ran request {id}, which nobody sent")),
            Some(record) => {
                record.runs.push(Run { instance: instance.to_string(), attempt });
                if record.one_time && record.runs.len() > 1 {
                    let instances: Vec<&str> =
                        record.runs.iter().map(|run| run.instance.as_str()).collect();
                    found.push(format!("request {id} ran at {}", instances.join(" and ")));
                }
                if record.one_time
                    && !record.doubled
                    && record.outcomes.last() == Some(&ClientOutcome::NotRun)
                {
                    found.push(format!("request {id} ran after it was told not run"));
                }
            }
        }
        found.into_iter().for_each(|text| self.violate(text));
    }

    pub fn record_departure(&mut self, id: u64) {
        self.records.entry(id).or_default().client_departed = true;
    }

    /// The client of this go was told its end. What a lookup is told is about this go alone.
    pub fn record_outcome(&mut self, id: u64, attempt: u64, outcome: ClientOutcome) {
        let Some(record) = self.records.get_mut(&id) else { return };
        record.outcomes.push(outcome);
        let ran = !record.runs.is_empty();
        let ran_now = record.runs.iter().any(|run| run.attempt == attempt);
        if outcome == ClientOutcome::NotRun && !record.one_time && ran_now {
            self.violate(format!("lookup {id} was told not run, but it ran"));
        } else if outcome == ClientOutcome::NotRun && record.one_time && !record.doubled && ran {
            self.violate(format!("request {id} was told not run, but it ran"));
        } else if outcome == ClientOutcome::Ran && !ran {
            self.violate(format!("request {id} was told a success no target gave"));
        }
    }

    /// How many requests ended in each way, by the last end that their client saw.
    pub fn outcome_counts(&self) -> OutcomeCounts {
        let with_outcome = |end: Option<ClientOutcome>| {
            self.records.values().filter(move |record| record.outcomes.last().copied() == end)
        };
        let count = |end: Option<ClientOutcome>| with_outcome(end).count();
        let departed = with_outcome(None).filter(|record| record.client_departed).count();
        OutcomeCounts {
            ran: count(Some(ClientOutcome::Ran)),
            not_run: count(Some(ClientOutcome::NotRun)),
            unknown: count(Some(ClientOutcome::Unknown)),
            pending: count(Some(ClientOutcome::Pending)),
            unreached: count(Some(ClientOutcome::Unreached)),
            unanswered: count(None) - departed,
            departed,
        }
    }

    pub fn requests(&self) -> usize {
        self.records.len()
    }

    /// Lookups that targets ran, and how many of those runs were extra.
    pub fn extra(&self) -> (usize, usize) {
        let lookups = self.records.values().filter(|record| !record.one_time);
        lookups.fold((0, 0), |(requested, extra), record| {
            (
                requested + record.outcomes.len().max(1),
                extra + record.runs.len().saturating_sub(record.outcomes.len().max(1)),
            )
        })
    }
}
