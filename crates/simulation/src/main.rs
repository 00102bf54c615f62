//! Runs many seeds and prints each that fails, so that it can be run again alone.

use gumdrop::Options;
use postbarrow_simulation::{Fault, Scenario};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

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
}

fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
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
    let outcomes = outcomes.into_inner().unwrap_or_default();
    let failed = outcomes.iter().filter(|outcome| !outcome.violations.is_empty()).count();
    let mut recovery: Vec<u64> = outcomes.iter().map(|outcome| outcome.recoveryMs).collect();
    recovery.sort_unstable();
    let at = |share: usize| recovery.get(recovery.len() * share / 100).copied().unwrap_or(0);
    let sum =
        |of: fn(&postbarrow_simulation::Ended) -> usize| outcomes.iter().map(of).sum::<usize>();
    println!(
        "{} seeds, {failed} failed; {} asks: {} ran, {} not run, {} unknown; {} plans, {} refused; {} calls, {} events",
        outcomes.len(),
        sum(|outcome| outcome.asks),
        sum(|outcome| outcome.told.ran),
        sum(|outcome| outcome.told.notRun),
        sum(|outcome| outcome.told.unknown),
        sum(|outcome| outcome.plans as usize),
        sum(|outcome| outcome.refusals as usize),
        sum(|outcome| outcome.calls),
        sum(|outcome| outcome.events),
    );
    println!(
        "recovery ms: p50 {} p90 {} p99 {} most {}; longest leave ms {}",
        at(50),
        at(90),
        at(99),
        recovery.last().copied().unwrap_or(0),
        outcomes.iter().map(|outcome| outcome.longestLeaveMs).max().unwrap_or(0),
    );
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
