//! Sends traffic of all kinds at given rates through the gateway, and checks that the gateway kept
//! its guarantees.

#![deny(missing_docs)]

mod cli;
mod client;
mod coordination_calls;
mod coordination_check;
mod departing_clients;
mod key_watch;
mod nodes;
mod noisy_neighbour;
mod report;
mod request_ledger;
mod workload;

use cli::Cli;
use gumdrop::Options;
use nodes::Nodes;
use noisy_neighbour::NoisyCounters;
use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

/// Wait after the load's end, in which targets record executions that outlast their clients.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The results that all clients of one run observed.
struct Observed {
    load: workload::LoadResults,
    departures: Vec<departing_clients::Departure>,
    watched: key_watch::WatchedRevisions,
    noisy: Arc<NoisyCounters>,
}

fn main() -> ExitCode {
    let cli = Arc::new(Cli::parse_args_default_or_exit());
    let report_unreadable = |file: &str, error: io::Error| {
        eprintln!("{file}: {error}");
        ExitCode::from(2)
    };
    let nodes = match Nodes::read(&cli.nodes) {
        Ok(nodes) => Arc::new(nodes),
        Err(error) => return report_unreadable(&cli.nodes, error),
    };
    let observed = drive(&cli, &nodes);
    let executions = match request_ledger::read_executions(&cli.records) {
        Ok(executions) => executions,
        Err(error) => return report_unreadable(&cli.records, error),
    };
    let violations = check(&cli, &observed, &executions);
    report::print(&observed.load, &executions, &violations);
    if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Starts all clients, sends the load, and waits until all have ended.
fn drive(cli: &Arc<Cli>, nodes: &Arc<Nodes>) -> Observed {
    let run_ended = Arc::new(AtomicBool::new(false));
    let readiness = {
        let (nodes, run_ended) = (nodes.clone(), run_ended.clone());
        thread::spawn(move || nodes.poll_readiness(&run_ended))
    };
    nodes.wait_ready();
    let watch = key_watch::start(nodes, &run_ended);
    let noisy = Arc::new(NoisyCounters::default());
    let noisy_clients =
        noisy_neighbour::start(cli.noisy_clients, cli.noisy_per_s, nodes, &run_ended, &noisy);
    let load_ended = Arc::new(AtomicBool::new(false));
    let departing = departing_clients::start(cli.departing_per_s, nodes, &load_ended);
    let load = workload::run(cli, nodes);
    load_ended.store(true, Relaxed);
    let departures = departing.join().unwrap_or_default();
    thread::sleep(SETTLING_TIME);
    run_ended.store(true, Relaxed);
    noisy_clients.into_iter().for_each(|client| drop(client.join()));
    let watched = watch.join().unwrap_or_default();
    let _ = readiness.join();
    Observed { load, departures, watched, noisy }
}

/// Returns every violation of the run, and prints the results of the departing clients and of the
/// noisy neighbours.
fn check(
    cli: &Cli,
    observed: &Observed,
    executions: &[request_ledger::RecordedExecution],
) -> Vec<String> {
    let load = &observed.load;
    let noisy_attempts = observed.noisy.attempts.load(Relaxed) as usize;
    let budget = request_ledger::Budget {
        seconds: cli.seconds as f64,
        allowance: cli.allowance,
        noisy_attempts,
    };
    let requests: Vec<_> = load.requests.iter().chain(&load.direct).cloned().collect();
    let mut violations = request_ledger::check(&requests, executions, &budget);
    violations.extend(coordination_check::check(&load.calls));
    violations.extend(key_watch::check(&observed.watched, &load.calls));
    if !observed.departures.is_empty() {
        let departing_executions =
            departing_clients::read_executions(&cli.records).unwrap_or_default();
        let summary = departing_clients::summarize(&observed.departures, &departing_executions);
        println!(
            "Leavers: {} clients left, {} while a target worked; {} worked on, {} begun late",
            summary.departed, summary.in_flight, summary.overran, summary.started_late
        );
        violations.extend(departing_clients::check(&summary));
    }
    if noisy_attempts > 0 {
        println!(
            "Greedy: {noisy_attempts} goes, {} served, {} shed, {} failed",
            observed.noisy.served.load(Relaxed),
            observed.noisy.shed.load(Relaxed),
            observed.noisy.failed.load(Relaxed)
        );
    }
    violations
}
