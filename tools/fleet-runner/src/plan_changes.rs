//! Submissions of new plans while load is sent.

use crate::cli::Cli;
use crate::error::FleetError;
use crate::fault_results::FaultResults;
use crate::fleet::Fleet;
use crate::plan_text::plan_text;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Maximum number of submissions of a plan that is neither accepted nor refused as a conflict.
const SUBMISSIONS_MAX: usize = 20;
/// Maximum wait until every ready data node follows an acknowledged plan.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

fn next_version(fleet: &Fleet) -> String {
    let number: u64 = fleet.version.trim_start_matches('v').parse().unwrap_or(0);
    format!("v{}", number + 1)
}

/// Submits a plan until it is accepted or refused as a conflict, then waits until every ready data
/// node follows it.
///
/// # Errors
/// When the plan is refused as a conflict, is never acknowledged, or is not in force in time.
pub fn change_plan(
    fleet: &mut Fleet,
    results: &mut FaultResults,
    routes: usize,
) -> Result<(), FleetError> {
    let version = next_version(fleet);
    let text = plan_text(&version, Some(&fleet.version), routes);
    for _ in 0..SUBMISSIONS_MAX {
        match fleet.submit(&text) {
            Some(submission) if submission.status == 200 => {
                println!("fleet: {version} acknowledged after {} ms", submission.took_ms);
                fleet.version = version;
                results.plan = text;
                return wait_in_force(fleet, results);
            }
            Some(submission) if submission.status == 409 => return Err(FleetError::PlanConflict),
            _ => sleep(Duration::from_millis(300)),
        }
    }
    Err(FleetError::PlanNotAcknowledged)
}

/// Waits until every ready data node follows the plan in force, and records how long that took.
fn wait_in_force(fleet: &Fleet, results: &mut FaultResults) -> Result<(), FleetError> {
    let start = Instant::now();
    let expected = format!("\"version\":\"{}\"", fleet.version);
    while start.elapsed() < IN_FORCE_TIMEOUT {
        let nodes = fleet.readiness();
        let is_stale =
            nodes.iter().flatten().any(|node| node.is_ready && !node.text.contains(&expected));
        if !is_stale {
            results.in_force_ms.push(start.elapsed().as_millis() as u64);
            return Ok(());
        }
    }
    Err(FleetError::PlanNotInForce)
}

/// Submits two plans with the same base concurrently, of which exactly one must be accepted.
///
/// # Errors
/// When neither or both are accepted, or the accepted plan is not in force in time.
pub fn race_plans(
    fleet: &mut Fleet,
    results: &mut FaultResults,
    cli: &Cli,
) -> Result<(), FleetError> {
    let base = fleet.version.clone();
    let first = next_version(fleet);
    let versions = [first.clone(), format!("{first}0")];
    let texts = versions.each_ref().map(|version| plan_text(version, Some(&base), cli.routes));
    let shared: &Fleet = fleet;
    let statuses: Vec<Option<u16>> = std::thread::scope(|scope| {
        let submissions: Vec<_> = texts
            .iter()
            .map(|text| scope.spawn(move || shared.submit(text).map(|response| response.status)))
            .collect();
        submissions.into_iter().map(|thread| thread.join().unwrap_or(None)).collect()
    });
    let accepted: Vec<usize> = (0..2).filter(|index| statuses[*index] == Some(200)).collect();
    match accepted[..] {
        [index] => {
            fleet.version = versions[index].clone();
            results.plan = texts[index].clone();
            wait_in_force(fleet, results)
        }
        _ => Err(FleetError::PlanRace(statuses)),
    }
}
