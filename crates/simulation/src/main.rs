//! Runs many seeds and prints each that fails, so that it can be run again alone.

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

/// All arguments that can't be run; with any of them nothing is run.
fn findings(cli: &Cli) -> Vec<String> {
    let minimums = [
        ("--seeds", cli.seeds, 1),
        ("--threads", cli.threads as u64, 1),
        ("--nodes", cli.nodes as u64, 2),
        ("--targets", cli.targets as u64, 6),
    ];
    let low = minimums.iter().filter(|(_, given, min)| given < min);
    low.map(|(flag, given, min)| format!("{flag} {given}: at least {min}")).collect()
}

/// Injects each fault at every step of each operation, until the controller takes no more steps.
fn steps(cli: &Cli) -> ExitCode {
    let kinds: Vec<(Operation, InjectedFault)> = OPERATIONS
        .into_iter()
        .flat_map(|operation| INJECTED_FAULTS.map(|fault| (operation, fault)))
        .collect();
    let next = AtomicUsize::new(0);
    let failed = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..cli.threads {
            scope.spawn(|| {
                while let Some((operation, fault)) = kinds.get(next.fetch_add(1, Relaxed)).copied()
                {
                    let max = if operation == Operation::Snapshot { 12 } else { u64::MAX };
                    let mut injected = 0;
                    while injected < max {
                        let step = InjectionPoint {
                            seed: cli.seed + injected % cli.seeds,
                            operation,
                            fault,
                            at: injected,
                        };
                        let Some(result) = step.run() else { break };
                        injected += 1;
                        for violation in &result.violations {
                            failed.fetch_add(1, Relaxed);
                            println!("{step:?}: {violation}");
                        }
                    }
                    println!("{operation:?} {fault:?}: {injected} steps");
                }
            });
        }
    });
    println!("{} violations", failed.load(Relaxed));
    if failed.load(Relaxed) == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    let findings = findings(&cli);
    if !findings.is_empty() {
        findings.iter().for_each(|finding| eprintln!("simulate: {finding}"));
        return ExitCode::from(2);
    }
    if cli.steps {
        return steps(&cli);
    }
    let outcomes = run_seeds(&cli);
    print_summary(&outcomes);
    let failed = outcomes.iter().any(|outcome| !outcome.violations.is_empty());
    if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Runs all seeds and prints their logs and violations.
fn run_seeds(cli: &Cli) -> Vec<RunResult> {
    let next = AtomicU64::new(cli.seed);
    let outcomes = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..cli.threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Relaxed);
                    if seed >= cli.seed + cli.seeds {
                        return;
                    }
                    let mut scenario = Scenario::everything(seed);
                    scenario.count = cli.faults;
                    scenario.data_nodes = cli.nodes;
                    scenario.targets = cli.targets;
                    scenario.zone_us = cli.zone_us;
                    scenario.log = cli.log;
                    scenario.last = cli.kill_controller.then_some(Fault::KillController);
                    let outcome = scenario.run();
                    for line in &outcome.log {
                        println!("{seed}: {line}");
                    }
                    for violation in &outcome.violations {
                        println!("seed {seed}: {violation}");
                    }
                    if let Ok(mut all) = outcomes.lock() {
                        all.push(outcome);
                    }
                }
            });
        }
    });
    outcomes.into_inner().unwrap_or_default()
}

/// Prints the sums over all runs.
fn print_summary(outcomes: &[RunResult]) {
    let failed = outcomes.iter().filter(|outcome| !outcome.violations.is_empty()).count();
    let mut recovery: Vec<u64> = outcomes.iter().map(|outcome| outcome.recovery_ms).collect();
    recovery.sort_unstable();
    let at = |percent: usize| recovery.get(recovery.len() * percent / 100).copied().unwrap_or(0);
    let sum = |of: fn(&RunResult) -> usize| outcomes.iter().map(of).sum::<usize>();
    let counts =
        outcomes.iter().fold(OutcomeCounts::default(), |sum, outcome| sum.plus(outcome.outcomes));
    println!(
        "{} seeds, {failed} failed; {} plans, {} refused; {} calls, {} events",
        outcomes.len(),
        sum(|outcome| outcome.plans as usize),
        sum(|outcome| outcome.refusals as usize),
        sum(|outcome| outcome.calls),
        sum(|outcome| outcome.events),
    );
    print_requests(&counts);
    print_disks(outcomes);
    println!(
        "recovery ms: p50 {} p90 {} p99 {} most {}; longest leave ms {}",
        at(50),
        at(90),
        at(99),
        recovery.last().copied().unwrap_or(0),
        outcomes.iter().map(|outcome| outcome.max_departure_lag_ms).max().unwrap_or(0),
    );
}

/// Prints how many requests had each outcome.
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

/// Prints the work and the failures of disks and of the endpoint list.
fn print_disks(outcomes: &[RunResult]) {
    let sum = |of: fn(&RunResult) -> usize| outcomes.iter().map(of).sum::<usize>();
    let synced = |part: fn(&(usize, usize)) -> usize| {
        outcomes.iter().map(|outcome| part(&outcome.synced)).sum::<usize>()
    };
    println!(
        "{} writes in {} syncs; {} disk failures; {} list refusals",
        synced(|synced| synced.1),
        synced(|synced| synced.0),
        sum(|outcome| outcome.disk_failures),
        sum(|outcome| outcome.list_refusals),
    );
}
