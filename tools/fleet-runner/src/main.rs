//! Starts the processes of a deployment on this machine, sends load through them, injects faults
//! and checks that the system recovers without a violation.

#![deny(missing_docs)]

mod addresses;
mod cli;
mod clock_faults;
mod deployment;
mod disk_faults;
mod endpoint_list;
mod error;
mod fault_injection;
mod fault_results;
mod fault_schedule;
mod fleet;
mod fleet_check;
mod members;
mod partitions;
mod plan_changes;
mod plan_text;
mod process;
mod process_faults;
mod readiness;
mod relay;
mod target_faults;

use cli::Cli;
use deployment::Deployment;
use error::FleetError;
use fault_schedule::ScheduledFault;
use gumdrop::Options;
use std::process::ExitCode;
use tools_shared::TargetFault;

/// Time after the acceptance of the first plan within which every data node must be ready, in
/// milliseconds.
const START_TIMEOUT_MS: u128 = 30_000;
/// Time after the load's end within which every data node must be ready, in milliseconds.
const RECOVERY_TIMEOUT_MS: u128 = 20_000;

fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    match run(&cli) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("fleet: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns the fault schedule of a valid command line; for an invalid one, a single error that
/// contains all findings, so that they are reported together before any process starts.
fn validate(cli: &Cli) -> Result<Vec<ScheduledFault>, FleetError> {
    let mut findings = Vec::new();
    if let Err(error) = Deployment::from_cli(cli) {
        findings.push(format!("--deployment {error}"));
    }
    let is_unknown = |name: &&str| name.parse::<TargetFault>().is_err();
    for name in cli.target_faults.split(',').filter(is_unknown) {
        let known = TargetFault::ALL.map(TargetFault::name).join(", ");
        findings.push(format!("--target-faults {name:?}: expected one of {known}"));
    }
    if cli.per_mille > 1_000 {
        findings.push(format!("--per-mille {}: at most 1000", cli.per_mille));
    }
    if cli.seconds == 0 || cli.scale == 0 {
        findings.push("--seconds and --scale: at least 1".into());
    }
    if cli.faults == "all" && cli.variables.is_empty() {
        let file = "tools/fleet-runner/tests/clock.variables";
        findings.push(format!("--faults all: includes clock jumps, which need --variables {file}"));
    }
    let schedule = fault_schedule::schedule(cli);
    if let Err(error) = &schedule {
        findings.push(format!("--faults {error}"));
    }
    if findings.is_empty() { schedule } else { Err(FleetError::CommandLine(findings)) }
}

/// Runs the fleet once and returns whether load, faults and recovery passed without a violation.
fn run(cli: &Cli) -> Result<bool, FleetError> {
    let schedule = validate(cli)?;
    let deployment = Deployment::from_cli(cli)?;
    let mut fleet = fleet::Fleet::start(cli, deployment)?;
    println!("fleet: ready after {} ms", fleet.wait_ready(START_TIMEOUT_MS)?);
    let mut load = fleet.start_load(cli)?;
    let results = fault_injection::run(cli, &mut fleet, &schedule);
    let load_passed = load.wait()?.success();
    let recovered = fleet.wait_ready(RECOVERY_TIMEOUT_MS);
    match &recovered {
        Ok(took_ms) => println!("fleet: all ready {took_ms} ms after the load's end"),
        Err(error) => println!("fleet: violation: {error}"),
    }
    let violations = fleet_check::check(&fleet, &results);
    for violation in &violations {
        println!("fleet: violation: {violation}");
    }
    fleet.stop();
    println!("fleet: {}", if load_passed && violations.is_empty() { "sound" } else { "not sound" });
    Ok(load_passed && recovered.is_ok() && violations.is_empty())
}
