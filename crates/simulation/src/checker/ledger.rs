//! What clients received and what targets ran: the record that every check compares.

use crate::checker::orders::OrderLedger;
use std::collections::{BTreeMap, BTreeSet};

/// What a client received for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// The response to its request.
    Ran,
    /// The report that its request did not run.
    NotRun,
    /// The report that it is unknown whether its request ran.
    Unknown,
    /// The report that another request with its key is in flight.
    Pending,
    /// No node accepted it.
    Unreached,
}

/// Requests by the last outcome that their client received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Reported as run.
    pub ran: usize,
    /// Reported as not run.
    pub not_run: usize,
    /// Reported as unknown.
    pub unknown: usize,
    /// Another request with the same key was in flight.
    pub pending: usize,
    /// No node accepted the request.
    pub unreached: usize,
    /// The node that accepted it ended first.
    pub unanswered: usize,
    /// The client departed before any response.
    pub departed: usize,
}

impl OutcomeCounts {
    /// All requests, each counted once.
    pub fn total(&self) -> usize {
        let answered = self.ran + self.not_run + self.unknown + self.pending;
        answered + self.unreached + self.unanswered + self.departed
    }

    /// The sum of both.
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
    /// Sent twice at once under one key: the outcome of one attempt says nothing of the other.
    doubled: bool,
    outcomes: Vec<ClientOutcome>,
    /// A client of it departed without a response.
    client_departed: bool,
    runs: Vec<Run>,
}

/// One run at a target.
struct Run {
    instance: String,
    /// Which attempt under this id it was.
    attempt: u64,
}

/// What clients received and what targets ran, compared at every entry.
#[derive(Default)]
pub struct Ledger {
    records: BTreeMap<u64, RequestRecord>,
    /// What did not hold, the first fifty.
    pub violations: Vec<String>,
    /// How often a request was forwarded to a target.
    pub forwards: u64,
    /// When targets ran requests, in microseconds.
    pub ran_us: Vec<u64>,
    /// Acknowledged plans: when, and the log offset of their Begin.
    pub in_force: Vec<(u64, u64)>,
    /// Refused plans and dry runs: version and number of routes, by which a data node's image shows
    /// one.
    pub refused: BTreeSet<(String, usize)>,
    /// Responses to operators' orders.
    pub orders: OrderLedger,
    /// Checksums of committed entries, by index.
    pub committed: BTreeMap<u64, u64>,
    /// The longest time for which a target got requests after its departure was shown.
    pub max_departure_lag_us: u64,
}

impl Ledger {
    /// Records a violation.
    pub fn violate(&mut self, text: String) {
        if self.violations.len() < 50 {
            self.violations.push(text);
        }
    }

    /// Records that a client sends a request.
    pub fn record_request(&mut self, id: u64, one_time: bool) {
        self.records.entry(id).or_default().one_time = one_time;
    }

    /// Records that a request is sent twice at once under one key.
    pub fn doubled(&mut self, id: u64) {
        self.records.entry(id).or_default().doubled = true;
    }

    /// Records that a target ran a request, in this attempt.
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
                    found.push(format!("request {id} ran after it was reported as not run"));
                }
            }
        }
        found.into_iter().for_each(|text| self.violate(text));
    }

    /// Records that a client departed before a response.
    pub fn record_departure(&mut self, id: u64) {
        self.records.entry(id).or_default().client_departed = true;
    }

    /// Records the outcome that the client of this attempt received. A lookup's outcome is about
    /// this attempt alone.
    pub fn record_outcome(&mut self, id: u64, attempt: u64, outcome: ClientOutcome) {
        let Some(record) = self.records.get_mut(&id) else { return };
        record.outcomes.push(outcome);
        let ran = !record.runs.is_empty();
        let ran_now = record.runs.iter().any(|run| run.attempt == attempt);
        if outcome == ClientOutcome::NotRun && !record.one_time && ran_now {
            self.violate(format!("lookup {id} was reported as not run, but it ran"));
        } else if outcome == ClientOutcome::NotRun && record.one_time && !record.doubled && ran {
            self.violate(format!("request {id} was reported as not run, but it ran"));
        } else if outcome == ClientOutcome::Ran && !ran {
            self.violate(format!("request {id} was reported as run, but no target ran it"));
        }
    }

    /// How many requests had each outcome, by the last one that their client received.
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

    /// How many requests there were.
    pub fn requests(&self) -> usize {
        self.records.len()
    }

    /// Attempts of lookups, and the runs at targets beyond one for each.
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
