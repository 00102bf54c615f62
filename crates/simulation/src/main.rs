//! Runs the simulation of a range of seeds and prints the violations of each seed that fails, so
//! that the seed can be run again alone.

use gumdrop::Options;
use postbarrow_simulation::{
    Fault, INJECTED_FAULTS, InjectedFault, InjectionPoint, OPERATIONS, Operation, OutcomeCounts,
    RunResult, Scenario,
};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};

#[derive(Debug, Options)]
struct Cli {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "first seed", default = "1", no_short)]
    seed: u64,
    #[options(help = "how many seeds", default = "100", no_short)]
    seeds: u64,
    #[options(help = "faults in a run", default = "6", no_short)]
    faults: usize,
    #[options(help = "threads", default = "8", no_short)]
    threads: usize,
    #[options(help = "kill the controller at the end, and measure from there", no_short)]
    kill_controller: bool,
    #[options(help = "print what happened", no_short)]
    log: bool,
    #[options(
        help = "strike the controller at each step of a plan, member change and snapshot",
        no_short
    )]
    steps: bool,
    #[options(help = "data nodes", default = "5", no_short)]
    nodes: usize,
    #[options(help = "targets", default = "12", no_short)]
    targets: usize,
    #[options(help = "three zones this many microseconds apart", default = "0", no_short)]
    zone_us: u64,
}

/// Returns a message for each argument below its minimum; if there is any, nothing is run.
fn invalid_arguments(cli: &Cli) -> Vec<String> {
    let minimums = [
        ("--seeds", cli.seeds, 1),
        ("--threads", cli.threads as u64, 1),
        ("--nodes", cli.nodes as u64, 2),
        ("--targets", cli.targets as u64, 6),
    ];
    let too_low = minimums.iter().filter(|(_, given, min)| given < min);
    too_low.map(|(flag, given, min)| format!("{flag} {given}: at least {min}")).collect()
}

/// Injects each fault at each step of each operation, one step per run, until the operation has no
/// further step; for snapshots, where the fault always comes at the first step, in twelve runs at
/// most. Prints the violations.
fn inject_at_every_step(cli: &Cli) -> ExitCode {
    let combinations: Vec<(Operation, InjectedFault)> = OPERATIONS
        .into_iter()
        .flat_map(|operation| INJECTED_FAULTS.map(|fault| (operation, fault)))
        .collect();
    let next = AtomicUsize::new(0);
    let violation_count = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..cli.threads {
            scope.spawn(|| {
                while let Some((operation, fault)) =
                    combinations.get(next.fetch_add(1, Relaxed)).copied()
                {
                    let max_runs = if operation == Operation::Snapshot { 12 } else { u64::MAX };
                    let mut injected = 0;
                    while injected < max_runs {
                        let point = InjectionPoint {
                            seed: cli.seed + injected % cli.seeds,
                            operation,
                            fault,
                            at: injected,
                        };
                        let Some(result) = point.run() else { break };
                        injected += 1;
                        for violation in &result.violations {
                            violation_count.fetch_add(1, Relaxed);
                            println!("{point:?}: {violation}");
                        }
                    }
                    println!("{operation:?} {fault:?}: {injected} steps");
                }
            });
        }
    });
    println!("{} violations", violation_count.load(Relaxed));
    if violation_count.load(Relaxed) == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    let invalid_arguments = invalid_arguments(&cli);
    if !invalid_arguments.is_empty() {
        invalid_arguments.iter().for_each(|message| eprintln!("simulate: {message}"));
        return ExitCode::from(2);
    }
    if cli.steps {
        return inject_at_every_step(&cli);
    }
    let results = run_seeds(&cli);
    print_summary(&results);
    let failed = results.iter().any(|result| !result.violations.is_empty());
    if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Runs all seeds, prints their logs and violations, and returns their results.
fn run_seeds(cli: &Cli) -> Vec<RunResult> {
    let next = AtomicU64::new(cli.seed);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..cli.threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Relaxed);
                    if seed >= cli.seed + cli.seeds {
                        return;
                    }
                    let mut scenario = Scenario::everything(seed);
                    scenario.fault_count = cli.faults;
                    scenario.data_nodes = cli.nodes;
                    scenario.targets = cli.targets;
                    scenario.zone_us = cli.zone_us;
                    scenario.log = cli.log;
                    scenario.last_fault = cli.kill_controller.then_some(Fault::KillController);
                    let result = scenario.run();
                    for line in &result.log {
                        println!("{seed}: {line}");
                    }
                    for violation in &result.violations {
                        println!("seed {seed}: {violation}");
                    }
                    if let Ok(mut all) = results.lock() {
                        all.push(result);
                    }
                }
            });
        }
    });
    results.into_inner().unwrap_or_default()
}

/// Prints the totals of all runs, and percentiles of the time to recovery.
fn print_summary(results: &[RunResult]) {
    let failed = results.iter().filter(|result| !result.violations.is_empty()).count();
    let mut recovery: Vec<u64> = results.iter().map(|result| result.recovery_ms).collect();
    recovery.sort_unstable();
    let percentile =
        |percent: usize| recovery.get(recovery.len() * percent / 100).copied().unwrap_or(0);
    let sum = |field: fn(&RunResult) -> usize| results.iter().map(field).sum::<usize>();
    let counts =
        results.iter().fold(OutcomeCounts::default(), |sum, result| sum.plus(result.outcomes));
    println!(
        "{} seeds, {failed} failed; {} plans, {} refused; {} calls, {} events",
        results.len(),
        sum(|result| result.plans as usize),
        sum(|result| result.refusals as usize),
        sum(|result| result.calls),
        sum(|result| result.events),
    );
    print_requests(&counts);
    print_disks(results);
    println!(
        "recovery ms: p50 {} p90 {} p99 {} most {}; longest leave ms {}",
        percentile(50),
        percentile(90),
        percentile(99),
        recovery.last().copied().unwrap_or(0),
        results.iter().map(|result| result.max_departure_lag_ms).max().unwrap_or(0),
    );
}

/// Prints the number of requests with each outcome.
fn print_requests(counts: &OutcomeCounts) {
    println!(
        "{} requests: {} ran, {} not run, {} unknown, {} pending, {} unreached, {} unanswered, {} left",
        counts.total(),
        counts.ran,
        counts.not_run,
        counts.unknown,
        counts.pending,
        counts.unreached,
        counts.unanswered,
        counts.departed,
    );
}

/// Prints the numbers of writes, syncs, failures of disks, and fetches that the endpoint list
/// refused.
fn print_disks(results: &[RunResult]) {
    let sum = |field: fn(&RunResult) -> usize| results.iter().map(field).sum::<usize>();
    let synced = |count_of: fn(&(usize, usize)) -> usize| {
        results.iter().map(|result| count_of(&result.synced)).sum::<usize>()
    };
    println!(
        "{} writes in {} syncs; {} disk failures; {} list refusals",
        synced(|synced| synced.1),
        synced(|synced| synced.0),
        sum(|result| result.disk_failures),
        sum(|result| result.list_refusals),
    );
}
