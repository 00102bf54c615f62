//! Injection of the scheduled faults, one after another.

use crate::cli::Cli;
use crate::deployment::{CONTROL_NODES, zone};
use crate::error::FleetError;
use crate::fault_results::FaultResults;
use crate::fault_schedule::{Fault, ScheduledFault};
use crate::fleet::Fleet;
use crate::plan_changes::{change_plan, race_plans};
use crate::plan_text::plan_text;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tools_shared::mix;

/// The number of routes without load in a large plan.
const BIG_PLAN_ROUTES: usize = 4_000;
/// Time within which every data node must be ready after a rolling restart has restarted one of
/// them, in milliseconds.
const RESTART_TIMEOUT_MS: u128 = 10_000;

/// Injects each fault when it is due, or once the previous one has ended if that is later.
pub fn run(cli: &Cli, fleet: &mut Fleet, schedule: &[ScheduledFault]) -> FaultResults {
    let plan = plan_text("v1", None, cli.routes);
    let mut results = FaultResults { plan, ..FaultResults::default() };
    let start = Instant::now();
    for (index, ScheduledFault { due, fault }) in schedule.iter().enumerate() {
        let due = Duration::from_secs_f64(due * cli.seconds as f64);
        sleep(due.saturating_sub(start.elapsed()));
        println!("fleet: {:.1} s: {fault}", start.elapsed().as_secs_f64());
        let seed = mix(cli.seed ^ (index as u64) << 32);
        results.injections += 1;
        if let Err(error) = inject(*fault, seed, fleet, &mut results, cli) {
            let violation = format!("{fault}: injection or recovery failed: {error}");
            results.violations.push(violation);
        }
    }
    results
}

/// Injects a fault; returns once it has ended and the processes that it ended are started again.
fn inject(
    fault: Fault,
    seed: u64,
    fleet: &mut Fleet,
    results: &mut FaultResults,
    cli: &Cli,
) -> Result<(), FleetError> {
    let drawn = seed as usize;
    match fault {
        Fault::Plan => change_plan(fleet, results, cli.routes),
        Fault::BigPlan => change_plan(fleet, results, BIG_PLAN_ROUTES),
        Fault::Race => race_plans(fleet, results, cli),
        Fault::InvalidPlan => submit_invalid_plan(fleet),
        Fault::Drain => fleet.drain_target(seed, &mut results.drains),
        Fault::KillTarget => fleet.kill_target(seed),
        Fault::FreezeTarget => fleet.freeze_target(seed),
        Fault::ReuseAddress => fleet.reuse_address(seed),
        Fault::KillData => fleet.restart_data(&[drawn], libc::SIGKILL, 800),
        Fault::KillManyData => {
            let half = fleet.data.len() / 2;
            let indexes: Vec<usize> = (0..half).map(|index| drawn % 7 + index).collect();
            fleet.restart_data(&indexes, libc::SIGKILL, 500)
        }
        Fault::RestartData => fleet.restart_data(&[drawn], libc::SIGTERM, 0),
        Fault::RestartDataInTurn(index) => {
            fleet.restart_data(&[index], libc::SIGTERM, 0)?;
            fleet.wait_ready(RESTART_TIMEOUT_MS).map(|_| ())
        }
        Fault::FreezeData => {
            fleet.freeze_data(drawn, 1_000 + seed % 3_000);
            Ok(())
        }
        Fault::KillController => fleet.restart_control(&[fleet.leader()], libc::SIGKILL),
        Fault::KillAllControl => fleet.restart_control(&[0, 1, 2], libc::SIGKILL),
        Fault::RestartControl => fleet.restart_control(&[drawn % CONTROL_NODES], libc::SIGTERM),
        Fault::RestartControlInTurn(index) => fleet.restart_control(&[index], libc::SIGTERM),
        Fault::FreezeControl => {
            fleet.freeze_leader(500 + seed % 4_000);
            Ok(())
        }
        Fault::PartitionControl => fleet.partition_control(drawn % CONTROL_NODES),
        Fault::IsolateControl => fleet.isolate_control(fleet.leader()),
        Fault::IsolateData => fleet.isolate_data(drawn),
        Fault::PartitionOneDirection => fleet.partition_one_direction(drawn),
        Fault::IsolateZone => fleet.isolate_zone(zone(drawn)),
        Fault::ReplaceSeeds => fleet.replace_seeds(),
        Fault::ListSlow => fleet.inject_list_fault("slow 250", 4_000),
        Fault::ListLimited => fleet.inject_list_fault("rate 4", 6_000),
        Fault::ListDown => fleet.inject_list_fault("down", 6_000),
        Fault::FillDisk => fleet.fill_disk(drawn % CONTROL_NODES),
        Fault::JumpClocks => fleet.jump_clocks(seed),
        Fault::EmptyControl => fleet.restart_control_empty(drawn % CONTROL_NODES),
    }
}

fn submit_invalid_plan(fleet: &Fleet) -> Result<(), FleetError> {
    let status = fleet.submit("{\"version\": 7}").map(|submission| submission.status);
    if status == Some(400) { Ok(()) } else { Err(FleetError::InvalidPlanNotRefused(status)) }
}
