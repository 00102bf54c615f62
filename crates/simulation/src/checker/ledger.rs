//! The record of outcomes that clients received and of requests that targets ran, which the checks
//! compare.

use crate::checker::orders::OrderLedger;
use std::collections::{BTreeMap, BTreeSet};

/// The outcome that a client received for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// A target's response to the request.
    Ran,
    /// A report that the request did not run.
    NotRun,
    /// A report that it is unknown whether the request ran.
    Unknown,
    /// A report that another request with the same idempotency key is in flight.
    Pending,
    /// No data node accepted the request.
    Unreached,
}

/// Numbers of requests by the last outcome that their client received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests to which a client received a target's response.
    pub ran: usize,
    /// Requests that were reported as not run.
    pub not_run: usize,
    /// Requests of which it was reported as unknown whether they ran.
    pub unknown: usize,
    /// Requests that were refused because another one with the same idempotency key was in flight.
    pub pending: usize,
    /// Requests that no data node accepted.
    pub unreached: usize,
    /// Requests without a response whose client did not depart, since the node that accepted them
    /// ended or the run did.
    pub unanswered: usize,
    /// Requests whose client departed before any response.
    pub departed: usize,
}

impl OutcomeCounts {
    /// Returns the number of all requests, each of which has one outcome.
    pub fn total(&self) -> usize {
        let answered = self.ran + self.not_run + self.unknown + self.pending;
        answered + self.unreached + self.unanswered + self.departed
    }

    /// Returns the sums of both counts, outcome by outcome.
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

/// The history of one request, with all its attempts.
#[derive(Default)]
struct RequestRecord {
    /// Whether the request must run at most once; otherwise it is a lookup.
    one_time: bool,
    /// Whether the client sent the request twice at once under one key, so that the outcome of one
    /// attempt says nothing about the other.
    is_duplicated: bool,
    /// The outcomes that the client received, oldest first.
    outcomes: Vec<ClientOutcome>,
    /// Whether the client of an attempt departed without a response.
    client_departed: bool,
    /// The runs of the request at targets, oldest first.
    runs: Vec<Run>,
}

/// One run of a request at a target.
struct Run {
    /// The instance of the target.
    instance: String,
    /// The number of the attempt that reached the target.
    attempt: u64,
}

/// The record of a run, whose entries are compared as they are added.
#[derive(Default)]
pub struct Ledger {
    /// The records of all requests, by id.
    records: BTreeMap<u64, RequestRecord>,
    /// The violations found, in order; at most fifty are kept.
    pub violations: Vec<String>,
    /// Number of times that a request was forwarded to a target.
    pub forwards: u64,
    /// The true times at which targets ran requests, in microseconds.
    pub run_times_us: Vec<u64>,
    /// For each acknowledged plan, the true time of the acknowledgement in microseconds and the log
    /// offset of the plan's Begin.
    pub in_force: Vec<(u64, u64)>,
    /// Version and number of routes of each refused plan and dry run, by which such a plan is
    /// recognised in the routing table of a data node.
    pub refused: BTreeSet<(String, usize)>,
    /// The record of responses to operators' orders.
    pub orders: OrderLedger,
    /// Checksums of committed log entries, by index.
    pub committed: BTreeMap<u64, u64>,
    /// The longest time for which a target received requests after the endpoint list showed its
    /// departure, in microseconds.
    pub max_departure_lag_us: u64,
}

impl Ledger {
    /// Records a violation, unless fifty are recorded already.
    pub fn report(&mut self, text: String) {
        if self.violations.len() < 50 {
            self.violations.push(text);
        }
    }

    /// Records that a client sends a request.
    pub fn record_request(&mut self, id: u64, one_time: bool) {
        self.records.entry(id).or_default().one_time = one_time;
    }

    /// Records that a request is sent twice at once under one key.
    pub fn record_duplicate(&mut self, id: u64) {
        self.records.entry(id).or_default().is_duplicated = true;
    }

    /// Records that a target ran a request in the attempt of this number. The target must belong to
    /// the request's service.
    pub fn record_run(
        &mut self,
        id: u64,
        attempt: u64,
        instance: &str,
        target_service: &str,
        service: &str,
    ) {
        let mut violations = Vec::new();
        if target_service != service {
            violations.push(format!("{instance} got request {id} of {service}"));
        }
        match self.records.get_mut(&id) {
            None => violations.push(format!("{instance} ran request {id}, which nobody sent")),
            Some(record) => {
                record.runs.push(Run { instance: instance.to_string(), attempt });
                if record.one_time && record.runs.len() > 1 {
                    let instances: Vec<&str> =
                        record.runs.iter().map(|run| run.instance.as_str()).collect();
                    violations.push(format!("request {id} ran at {}", instances.join(" and ")));
                }
                if record.one_time
                    && !record.is_duplicated
                    && record.outcomes.last() == Some(&ClientOutcome::NotRun)
                {
                    violations.push(format!("request {id} ran after it was reported as not run"));
                }
            }
        }
        violations.into_iter().for_each(|text| self.report(text));
    }

    /// Records that a client departed before a response.
    pub fn record_departure(&mut self, id: u64) {
        self.records.entry(id).or_default().client_departed = true;
    }

    /// Records the outcome that the client of this attempt received. The outcome of a lookup is
    /// about this attempt alone, that of a one-time request about all attempts.
    pub fn record_outcome(&mut self, id: u64, attempt: u64, outcome: ClientOutcome) {
        let Some(record) = self.records.get_mut(&id) else { return };
        record.outcomes.push(outcome);
        let ran = !record.runs.is_empty();
        let attempt_ran = record.runs.iter().any(|run| run.attempt == attempt);
        if outcome == ClientOutcome::NotRun && !record.one_time && attempt_ran {
            self.report(format!("lookup {id} was reported as not run, but it ran"));
        } else if outcome == ClientOutcome::NotRun
            && record.one_time
            && !record.is_duplicated
            && ran
        {
            self.report(format!("request {id} was reported as not run, but it ran"));
        } else if outcome == ClientOutcome::Ran && !ran {
            self.report(format!("request {id} was reported as run, but no target ran it"));
        }
    }

    /// Returns how many requests had each outcome; the last one that the client received counts.
    pub fn outcome_counts(&self) -> OutcomeCounts {
        let with_outcome = |last_outcome: Option<ClientOutcome>| {
            self.records
                .values()
                .filter(move |record| record.outcomes.last().copied() == last_outcome)
        };
        let count = |last_outcome: Option<ClientOutcome>| with_outcome(last_outcome).count();
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

    /// Returns the number of requests that clients have sent.
    pub fn requests(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of attempts of lookups, and the number of their runs at targets beyond
    /// one for each attempt.
    pub fn extra_lookup_runs(&self) -> (usize, usize) {
        let lookups = self.records.values().filter(|record| !record.one_time);
        lookups.fold((0, 0), |(attempts, extra_runs), record| {
            (
                attempts + record.outcomes.len().max(1),
                extra_runs + record.runs.len().saturating_sub(record.outcomes.len().max(1)),
            )
        })
    }
}
