//! The checks that the load generator can't make: how long a draining target still got requests,
//! how long a plan took to be in force, and whether the plan in force is the acknowledged one.

use crate::fault_results::{Drain, FaultResults};
use crate::fleet::Fleet;
use tools_shared::ExecutionRecord;

/// Time after its listing as draining during which a target may still get requests, in
/// milliseconds.
const DRAIN_LAG_MAX_MS: u64 = 2_500;
/// Time within which every ready data node must follow an acknowledged plan, in milliseconds.
const IN_FORCE_MAX_MS: u64 = 2_500;

/// Returns the violations that are found after the load's end, and prints the figures behind them.
pub fn check(fleet: &Fleet, results: &FaultResults) -> Vec<String> {
    let mut violations = Vec::new();
    let lags_ms: Vec<u64> =
        results.drains.iter().map(|drain| check_drain(fleet, drain, &mut violations)).collect();
    println!("fleet: {} faults drawn", results.injections);
    print_sizes(fleet);
    if !lags_ms.is_empty() {
        println!("fleet: last ask after the list's mark, ms: {lags_ms:?}");
    }
    let in_force_ms = &results.in_force_ms;
    if !in_force_ms.is_empty() {
        println!("fleet: acknowledged to in force on every ready node, ms: {in_force_ms:?}");
    }
    for took_ms in in_force_ms.iter().filter(|took_ms| **took_ms > IN_FORCE_MAX_MS) {
        violations
            .push(format!("a plan took {took_ms} ms to be in force, over {IN_FORCE_MAX_MS} ms"));
    }
    violations.extend(results.violations.iter().cloned());
    check_plan(fleet, &results.plan, &mut violations);
    print_status(fleet);
    violations
}

/// Returns the time from a target's listing as draining to its last record, in milliseconds; 0 if
/// it recorded nothing afterwards. A time over `DRAIN_LAG_MAX_MS` is a violation.
fn check_drain(fleet: &Fleet, drain: &Drain, violations: &mut Vec<String>) -> u64 {
    let Drain { instance, listed_ms } = drain;
    let file = format!("{}/records/{instance}", fleet.launcher.folder);
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let times_ms = text
        .lines()
        .filter_map(|line| ExecutionRecord::parse(line).and_then(|record| record.at_ms()));
    let lag_ms = times_ms.max().unwrap_or(0).saturating_sub(*listed_ms);
    if lag_ms > DRAIN_LAG_MAX_MS {
        violations
            .push(format!("{instance} ran a request {lag_ms} ms after it was listed as draining"));
    }
    lag_ms
}

fn print_sizes(fleet: &Fleet) {
    for (plane, processes) in [("data", &fleet.data), ("control", &fleet.control)] {
        let sizes: Vec<_> = processes.iter().filter_map(|process| process.size()).collect();
        println!(
            "fleet: {plane} nodes: most memory {} MiB, most threads {}",
            sizes.iter().map(|size| size.peak_memory_mib).max().unwrap_or(0),
            sizes.iter().map(|size| size.threads).max().unwrap_or(0)
        );
    }
}

/// Checks that the plan in force is the last one that was acknowledged, if there was one.
fn check_plan(fleet: &Fleet, acknowledged: &str, violations: &mut Vec<String>) {
    let response = fleet.get("/plan");
    let is_acknowledged = response.as_ref().is_some_and(|response| {
        response.status == 200 && (response.text == acknowledged || acknowledged.is_empty())
    });
    if !is_acknowledged {
        violations.push(format!(
            "the plan in force is not the acknowledged one: status and length are {:?}",
            response.map(|response| (response.status, response.text.len()))
        ));
    }
}

fn print_status(fleet: &Fleet) {
    let Some(status) = fleet.get("/status").map(|response| response.text) else { return };
    let field = |name: &str| {
        let after = status.split(&format!("\"{name}\":")).nth(1)?;
        after.split([',', '}']).next().map(str::to_string)
    };
    for name in ["term", "watermark", "tickets", "openTickets", "longestStallMs"] {
        println!("fleet: {name} {}", field(name).unwrap_or_default());
    }
}
