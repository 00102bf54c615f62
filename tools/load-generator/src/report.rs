//! The summary of a run, printed on standard output.

use crate::client::{ClientRequest, Kind, Outcome};
use crate::request_ledger::RecordedExecution;
use crate::workload::LoadResults;

/// Maximum number of violations that are printed one by one.
const VIOLATIONS_SHOWN: usize = 30;

/// Prints the counts and percentiles of each kind of traffic, and the violations.
pub fn print(load: &LoadResults, executions: &[RecordedExecution], violations: &[String]) {
    println!("{:.1} s, {} asks, {} runs", load.seconds, load.requests.len(), executions.len());
    for kind in Kind::ALL {
        print_kind(kind, &load.requests);
    }
    let answered = load.calls.iter().filter(|call| call.answered).count();
    let durations_ms: Vec<f64> = load.calls.iter().map(|call| call.took_ms()).collect();
    println!(
        "Coordination: {} calls, {answered} answered; {}",
        load.calls.len(),
        percentiles(durations_ms)
    );
    let direct: Vec<f64> = load.direct.iter().map(|request| request.took_ms).collect();
    if !direct.is_empty() {
        println!("Direct: {} lookups; {}", direct.len(), percentiles(direct));
    }
    println!("{} violations", violations.len());
    for violation in violations.iter().take(VIOLATIONS_SHOWN) {
        println!("  {violation}");
    }
}

fn print_kind(kind: Kind, requests: &[ClientRequest]) {
    let requests: Vec<_> = requests.iter().filter(|request| request.kind == kind).collect();
    let count = |outcome: Outcome| {
        requests.iter().filter(|request| request.outcomes.last() == Some(&outcome)).count()
    };
    let ran_at_first_attempt = requests.iter().filter(|request| request.outcomes == [Outcome::Ran]);
    let attempts: usize = requests.iter().map(|request| request.outcomes.len()).sum();
    println!(
        "{kind:?}: {} asks in {attempts} goes, {} ran, {} not run, {} unknown, {} pending, {} unreached; {}",
        requests.len(),
        count(Outcome::Ran),
        count(Outcome::NotRun),
        count(Outcome::Unknown),
        count(Outcome::Pending),
        count(Outcome::Unreached),
        percentiles(ran_at_first_attempt.map(|request| request.took_ms).collect()),
    );
}

/// Formats the percentiles of these durations in milliseconds.
fn percentiles(mut durations_ms: Vec<f64>) -> String {
    durations_ms.sort_by(f64::total_cmp);
    let value_at = |quantile: f64| {
        let index = ((durations_ms.len() as f64 * quantile) as usize)
            .min(durations_ms.len().saturating_sub(1));
        durations_ms.get(index).copied().unwrap_or(0.0)
    };
    format!(
        "ms p50 {:.1} p90 {:.1} p99 {:.1} max {:.1}",
        value_at(0.5),
        value_at(0.9),
        value_at(0.99),
        value_at(1.0)
    )
}
