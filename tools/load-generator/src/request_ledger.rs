//! Compares the requests that clients sent, and the outcomes that they got, with the executions
//! that targets recorded.

use crate::client::{ClientRequest, Kind, Outcome};
use crate::{departing_clients, noisy_neighbour};
use std::collections::{BTreeMap, HashMap};
use std::io;
use tools_shared::ExecutionRecord;

/// One execution of a request, as its target recorded it.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request's `X-Id`.
    pub id: String,
    /// The target's instance name, which starts with its service.
    pub instance: String,
    /// The HTTP method.
    pub method: String,
    /// The SHA-256 of the request's body, in hexadecimal digits.
    pub digest: String,
    /// The path and query.
    pub target: String,
}

/// The sizes that decide how many executions beyond the clients' attempts the retry budget allows.
pub struct Budget {
    /// The length of the run, in seconds.
    pub seconds: f64,
    /// The number of executions that are allowed beyond one for every `ATTEMPTS_PER_EXTRA_RUN`
    /// attempts, per kind of request and second.
    pub allowance: f64,
    /// The number of attempts of the noisy neighbours, whose requests are not compared one by one.
    pub noisy_attempts: usize,
}

/// For this many attempts of a kind, one execution beyond the attempts is allowed.
const ATTEMPTS_PER_EXTRA_RUN: f64 = 5.0;

/// The number of attempts of one kind, and of executions beyond them.
#[derive(Clone, Copy, Default)]
struct AttemptCount {
    attempts: usize,
    extra_runs: usize,
}

/// The executions of each request, by its `X-Id`.
type RunsById<'a> = HashMap<&'a str, Vec<&'a Run>>;

/// Reads the executions from every file of the targets' records.
///
/// # Errors
/// When the folder or a file in it can't be read.
pub fn read_runs(folder: &str) -> io::Result<Vec<Run>> {
    let mut runs = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let text = std::fs::read_to_string(file?.path())?;
        for record in text.lines().filter_map(ExecutionRecord::parse) {
            if let ExecutionRecord::Run { id, instance, method, digest, target, at_ms: _ } = record
            {
                runs.push(Run { id, instance, method, digest, target });
            }
        }
    }
    Ok(runs)
}

/// Returns every violation: executions that were altered, repeated, falsely reported or not
/// requested by any client, responses that do not match, and more retries than the budget allows.
pub fn check(requests: &[ClientRequest], runs: &[Run], budget: &Budget) -> Vec<String> {
    let mut violations = Vec::new();
    let by_id = check_runs(requests, runs, &mut violations);
    for request in requests {
        let runs = by_id.get(request.id.as_str()).map_or(&[][..], |runs| runs.as_slice());
        check_request(request, runs, &mut violations);
    }
    let noisy_runs = runs.iter().filter(|run| run.id.starts_with(noisy_neighbour::ID_PREFIX));
    violations.extend(check_budget(requests, &by_id, noisy_runs.count(), budget));
    violations
}

/// Checks that each execution is of a request that a client sent, unaltered and at its service;
/// returns the executions by request. Executions for noisy neighbours and for departing clients are
/// left out.
fn check_runs<'a>(
    requests: &[ClientRequest],
    runs: &'a [Run],
    violations: &mut Vec<String>,
) -> RunsById<'a> {
    let sent: HashMap<&str, &ClientRequest> =
        requests.iter().map(|request| (request.id.as_str(), request)).collect();
    let mut by_id = RunsById::new();
    let is_counted_elsewhere = |run: &Run| {
        run.id.starts_with(noisy_neighbour::ID_PREFIX)
            || run.id.starts_with(departing_clients::ID_PREFIX)
    };
    for run in runs.iter().filter(|run| !is_counted_elsewhere(run)) {
        by_id.entry(run.id.as_str()).or_default().push(run);
        let Some(request) = sent.get(run.id.as_str()) else {
            violations.push(format!("{} ran {}, which no client sent", run.instance, run.id));
            continue;
        };
        if run.digest != request.digest
            || run.method != request.method
            || run.target != request.target
        {
            violations.push(format!(
                "{} ran {} with an altered method, target or body",
                run.instance, run.id
            ));
        }
        let service = run.instance.split('-').next().unwrap_or_default();
        if service != request.kind.service() {
            violations.push(format!("{} ran {}, of another service", run.instance, run.id));
        }
    }
    by_id
}

/// Checks that the outcomes that a client got agree with the executions of its request.
fn check_request(request: &ClientRequest, runs: &[&Run], violations: &mut Vec<String>) {
    let (id, outcomes) = (&request.id, &request.outcomes);
    if request.kind != Kind::Lookup && runs.len() > 1 {
        let instances: Vec<&str> = runs.iter().map(|run| run.instance.as_str()).collect();
        violations.push(format!("{id} ran {} times: {}", runs.len(), instances.join(", ")));
    }
    let not_run = match request.kind {
        Kind::Lookup => outcomes.iter().all(|outcome| *outcome == Outcome::NotRun),
        _ => matches!(outcomes.last(), Some(Outcome::NotRun)),
    };
    if not_run && !outcomes.is_empty() && !runs.is_empty() {
        violations.push(format!("{id} was reported as not run, but {} ran it", runs[0].instance));
    }
    if outcomes.contains(&Outcome::Ran) && runs.is_empty() {
        violations.push(format!("{id} got a success, but no target ran it"));
    }
    if let Some(mismatch) = &request.mismatch {
        violations.push(format!("{id}: {mismatch}"));
    }
}

/// Checks that the executions of each kind beyond the clients' attempts are within the retry
/// budget, and prints the numbers of attempts and of executions beyond them; returns the
/// violations.
fn check_budget(
    requests: &[ClientRequest],
    by_id: &RunsById<'_>,
    noisy_runs: usize,
    budget: &Budget,
) -> Vec<String> {
    let mut counts: BTreeMap<Kind, AttemptCount> = BTreeMap::new();
    for request in requests {
        let runs = by_id.get(request.id.as_str()).map_or(0, Vec::len);
        let count = counts.entry(request.kind).or_default();
        count.attempts += request.outcomes.len();
        count.extra_runs += runs.saturating_sub(request.outcomes.len());
    }
    let lookups = counts.entry(Kind::Lookup).or_default();
    lookups.attempts += budget.noisy_attempts;
    lookups.extra_runs += noisy_runs.saturating_sub(budget.noisy_attempts);
    let shown: Vec<String> = counts
        .iter()
        .map(|(kind, count)| format!("{kind:?}: ({}, {})", count.attempts, count.extra_runs))
        .collect();
    println!("Extra tries beyond asks at targets: {{{}}}", shown.join(", "));
    let over = counts.into_iter().filter_map(|(kind, AttemptCount { attempts, extra_runs })| {
        let allowed = attempts as f64 / ATTEMPTS_PER_EXTRA_RUN + budget.allowance * budget.seconds;
        (extra_runs as f64 > allowed).then(|| {
            format!("{kind:?}: {extra_runs} extra runs for {attempts} attempts, over {allowed:.0}")
        })
    });
    over.collect()
}

#[cfg(test)]
mod tests;
