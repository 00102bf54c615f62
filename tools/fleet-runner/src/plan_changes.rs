//! New plans while the fleet works.

use crate::cli::Cli;
use crate::error::FleetError;
use crate::fault_results::FaultResults;
use crate::fleet::Fleet;
use crate::plan_text::plan_text;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How often a plan is submitted that gets no clear response.
const SUBMISSIONS_MAX: usize = 20;
/// Within this every ready node has to follow an acknowledged plan.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

fn next_version(fleet: &Fleet) -> String {
    let number: u64 = fleet.version.trim_start_matches('v').parse().unwrap_or(0);
    format!("v{}", number + 1)
}

/// Submits a plan again until its outcome is clear; then every ready node must follow it soon.
///
/// # Errors
/// When the plan is refused, never acknowledged, or not in force in time.
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

/// Submits two plans on one base at once, of which exactly one must be accepted.
///
/// # Errors
/// When none or both are, or the accepted one is not in force in time.
pub fn race_plans(
    fleet: &mut Fleet,
    results: &mut FaultResults,
    cli: &Cli,
) -> Result<(), FleetError> {
    let base = fleet.version.clone();
    let first = next_version(fleet);
    let versions = [first.clone(), format!("{first}0")];
    let texts = versions.each_ref().map(|version| plan_text(version, Some(&base), cli.routes));
    let here: &Fleet = fleet;
    let statuses: Vec<Option<u16>> = std::thread::scope(|scope| {
        let racing: Vec<_> = texts
            .iter()
            .map(|text| scope.spawn(move || here.submit(text).map(|submission| submission.status)))
            .collect();
        racing.into_iter().map(|thread| thread.join().unwrap_or(None)).collect()
    });
    let accepted: Vec<usize> = (0..2).filter(|at| statuses[*at] == Some(200)).collect();
    match accepted[..] {
        [at] => {
            fleet.version = versions[at].clone();
            results.plan = texts[at].clone();
            wait_in_force(fleet, results)
        }
        _ => Err(FleetError::PlanRace(statuses)),
    }
}
