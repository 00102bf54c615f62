//! Compares the requests that clients sent, and the outcomes that they got, with the executions
//! that targets recorded.

use crate::client::{ClientRequest, Kind, Outcome};
use crate::{departing_clients, noisy_neighbour};
use std::collections::{BTreeMap, HashMap};
use std::io;
use tools_shared::ExecutionRecord;

/// One execution of a request, as its target recorded it.
#[derive(Clone, Debug)]
pub struct RecordedExecution {
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
    /// The number of executions that are allowed beyond one for every
    /// `ATTEMPTS_PER_EXTRA_EXECUTION` attempts, per kind of request and second.
    pub allowance: f64,
    /// The number of attempts of the noisy neighbours, whose requests are not compared one by one.
    pub noisy_attempts: usize,
}

/// For this many attempts of a kind, one execution beyond the attempts is allowed.
const ATTEMPTS_PER_EXTRA_EXECUTION: f64 = 5.0;

/// The attempts of one kind of request, compared with the executions of those requests.
#[derive(Clone, Copy, Default)]
struct AttemptCount {
    attempts: usize,
    /// The number of executions beyond the attempts.
    extra: usize,
}

/// The executions of each request, by its `X-Id`.
type ExecutionsById<'a> = HashMap<&'a str, Vec<&'a RecordedExecution>>;

/// Reads the executions from every file of the targets' records.
///
/// # Errors
/// When the folder or a file in it can't be read.
pub fn read_executions(folder: &str) -> io::Result<Vec<RecordedExecution>> {
    let mut executions = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let text = std::fs::read_to_string(file?.path())?;
        for record in text.lines().filter_map(ExecutionRecord::parse) {
            if let ExecutionRecord::Run { id, instance, method, digest, target, at_ms: _ } = record
            {
                executions.push(RecordedExecution { id, instance, method, digest, target });
            }
        }
    }
    Ok(executions)
}

/// Returns every violation: executions that were altered, repeated, falsely reported or not
/// requested by any client, responses that do not match, and more retries than the budget allows.
pub fn check(
    requests: &[ClientRequest],
    executions: &[RecordedExecution],
    budget: &Budget,
) -> Vec<String> {
    let mut violations = Vec::new();
    let by_id = check_executions(requests, executions, &mut violations);
    for request in requests {
        let matching = by_id.get(request.id.as_str()).map_or(&[][..], |found| found.as_slice());
        check_request(request, matching, &mut violations);
    }
    let noisy_executions =
        executions.iter().filter(|execution| execution.id.starts_with(noisy_neighbour::ID_PREFIX));
    violations.extend(check_budget(requests, &by_id, noisy_executions.count(), budget));
    violations
}

/// Checks that each execution is of a request that a client sent, unaltered and at its service;
/// returns the executions by request. Executions for noisy neighbours and for departing clients are
/// left out.
fn check_executions<'a>(
    requests: &[ClientRequest],
    executions: &'a [RecordedExecution],
    violations: &mut Vec<String>,
) -> ExecutionsById<'a> {
    let sent: HashMap<&str, &ClientRequest> =
        requests.iter().map(|request| (request.id.as_str(), request)).collect();
    let mut by_id = ExecutionsById::new();
    let is_counted_elsewhere = |execution: &RecordedExecution| {
        execution.id.starts_with(noisy_neighbour::ID_PREFIX)
            || execution.id.starts_with(departing_clients::ID_PREFIX)
    };
    for execution in executions.iter().filter(|execution| !is_counted_elsewhere(execution)) {
        by_id.entry(execution.id.as_str()).or_default().push(execution);
        let Some(request) = sent.get(execution.id.as_str()) else {
            violations
                .push(format!("{} ran {}, which no client sent", execution.instance, execution.id));
            continue;
        };
        if execution.digest != request.digest
            || execution.method != request.method
            || execution.target != request.target
        {
            violations.push(format!(
                "{} ran {} with an altered method, target or body",
                execution.instance, execution.id
            ));
        }
        let service = execution.instance.split('-').next().unwrap_or_default();
        if service != request.kind.service() {
            violations
                .push(format!("{} ran {}, of another service", execution.instance, execution.id));
        }
    }
    by_id
}

/// Checks that the outcomes that a client got agree with the executions of its request.
fn check_request(
    request: &ClientRequest,
    executions: &[&RecordedExecution],
    violations: &mut Vec<String>,
) {
    let (id, outcomes) = (&request.id, &request.outcomes);
    if request.kind != Kind::Lookup && executions.len() > 1 {
        let instances: Vec<&str> =
            executions.iter().map(|execution| execution.instance.as_str()).collect();
        violations.push(format!("{id} ran {} times: {}", executions.len(), instances.join(", ")));
    }
    let not_run = match request.kind {
        Kind::Lookup => outcomes.iter().all(|outcome| *outcome == Outcome::NotRun),
        _ => matches!(outcomes.last(), Some(Outcome::NotRun)),
    };
    if not_run && !outcomes.is_empty() && !executions.is_empty() {
        violations
            .push(format!("{id} was reported as not run, but {} ran it", executions[0].instance));
    }
    if outcomes.contains(&Outcome::Ran) && executions.is_empty() {
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
    by_id: &ExecutionsById<'_>,
    noisy_executions: usize,
    budget: &Budget,
) -> Vec<String> {
    let mut counts: BTreeMap<Kind, AttemptCount> = BTreeMap::new();
    for request in requests {
        let execution_count = by_id.get(request.id.as_str()).map_or(0, Vec::len);
        let count = counts.entry(request.kind).or_default();
        count.attempts += request.outcomes.len();
        count.extra += execution_count.saturating_sub(request.outcomes.len());
    }
    let lookups = counts.entry(Kind::Lookup).or_default();
    lookups.attempts += budget.noisy_attempts;
    lookups.extra += noisy_executions.saturating_sub(budget.noisy_attempts);
    let shown: Vec<String> = counts
        .iter()
        .map(|(kind, count)| format!("{kind:?}: ({}, {})", count.attempts, count.extra))
        .collect();
    println!("Extra tries beyond asks at targets: {{{}}}", shown.join(", "));
    let over = counts.into_iter().filter_map(|(kind, AttemptCount { attempts, extra })| {
        let allowed =
            attempts as f64 / ATTEMPTS_PER_EXTRA_EXECUTION + budget.allowance * budget.seconds;
        (extra as f64 > allowed).then(|| {
            format!("{kind:?}: {extra} extra runs for {attempts} attempts, over {allowed:.0}")
        })
    });
    over.collect()
}

#[cfg(test)]
mod tests;
