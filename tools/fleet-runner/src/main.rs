//! Starts a whole fleet on this machine, drives load through it, and brings faults about.

mod after;
mod clocks;
mod cuts;
mod faults;
mod fleet;
mod list;
mod plans;
mod process;
mod ready;
mod relay;
mod schedule;
mod spec;
mod targets;
mod words;

use gumdrop::Options;
use std::process::ExitCode;

/// Runs a deployment's fleet with stand-ins, load and faults; exits non-zero on any violation.
#[derive(Debug, Options)]
pub struct Cli {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "blue-mahoe or kutch", default = "blue-mahoe", no_short)]
    deployment: String,
    #[options(help = "sizes and rates, times this", default = "1", no_short)]
    scale: usize,
    #[options(help = "seconds of load", default = "30", no_short)]
    seconds: u64,
    #[options(help = "none, plain, rolling or all", default = "plain", no_short)]
    faults: String,
    #[options(help = "seed of the faults and the load", default = "1", no_short)]
    seed: u64,
    #[options(help = "folder for data, logs and records", default = "fleet-data", no_short)]
    folder: String,
    #[options(help = "folder of the programs", default = "target/release", no_short)]
    programs: String,
    #[options(help = "first port", default = "21000", no_short)]
    port: u16,
    #[options(help = "retries at once per failed ask: a storm", default = "0", no_short)]
    storm: u32,
    #[options(
        help = "clients that retry at once without end, at ten times the lookups",
        default = "0",
        no_short
    )]
    greedy: u64,
    #[options(
        help = "lookups a second whose clients leave before their answer",
        default = "0",
        no_short
    )]
    leavers: u64,
    #[options(help = "bytes of one upload", default = "262144", no_short)]
    upload_bytes: usize,
    #[options(help = "target faults in a thousand runs", default = "0", no_short)]
    per_mille: u64,
    #[options(help = "which target faults", default = "lost,garbage,cut,endless", no_short)]
    target_faults: String,
    #[options(help = "routes beside the three that carry load", default = "0", no_short)]
    routes: usize,
    #[options(
        help = "file of NAME=VALUE lines for every process; tests/clock.variables lets clocks jump",
        default = "",
        no_short
    )]
    pub variables: String,
}

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

/// Everything that can't be run, told together before any process starts.
fn checked(cli: &Cli) -> Result<Vec<(f64, schedule::Fault)>, String> {
    let mut findings = Vec::new();
    if let Err(error) = spec::Spec::of(cli) {
        findings.push(format!("--deployment {error}"));
    }
    let known = ["lost", "garbage", "cut", "endless", "lie", "double"];
    for kind in cli.target_faults.split(',').filter(|kind| !known.contains(kind)) {
        findings.push(format!("--target-faults {kind:?}: one of {}", known.join(", ")));
    }
    if cli.per_mille > 1_000 {
        findings.push(format!("--per-mille {}: at most 1000", cli.per_mille));
    }
    if cli.seconds == 0 || cli.scale == 0 {
        findings.push("--seconds and --scale: at least 1".into());
    }
    if cli.faults == "all" && cli.variables.is_empty() {
        let file = "tools/fleet-runner/tests/clock.variables";
        findings.push(format!("--faults all: clocks jump too, which needs --variables {file}"));
    }
    let schedule = schedule::schedule(cli);
    if let Err(error) = &schedule {
        findings.push(format!("--faults {error}"));
    }
    if findings.is_empty() { schedule } else { Err(findings.join("; ")) }
}

fn run(cli: &Cli) -> Result<bool, String> {
    let schedule = checked(cli)?;
    let spec = spec::Spec::of(cli)?;
    let mut fleet = fleet::Fleet::start(cli, spec)?;
    println!("fleet: ready after {} ms", fleet.wait_ready(30_000)?);
    let mut load = fleet.start_load(cli)?;
    let told = faults::run(cli, &mut fleet, &schedule);
    let sound = load.wait().map_err(|error| error.to_string())?.success();
    let healed = fleet.wait_ready(20_000);
    match &healed {
        Ok(took_ms) => println!("fleet: all ready {took_ms} ms after the load's end"),
        Err(error) => println!("fleet: violation: {error}"),
    }
    let after = after::check(&fleet, &told);
    for line in &after {
        println!("fleet: violation: {line}");
    }
    fleet.stop();
    println!("fleet: {}", if sound && after.is_empty() { "sound" } else { "not sound" });
    Ok(sound && healed.is_ok() && after.is_empty())
}
