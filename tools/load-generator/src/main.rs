//! Traffic of all kinds at given rates, and the books that tell whether any promise was broken.

mod book;
mod calls;
mod client;
mod greedy;
mod leavers;
mod nodes;
mod report;
mod schedule;
mod watch;

use gumdrop::Options;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;

/// Drives the gateway and checks its books; exits non-zero on any violation.
#[derive(Debug, Options)]
pub struct Cli {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "file of nodes: a line each, ZONE IP:PORT", required, no_short)]
    nodes: String,
    #[options(help = "folder where the stand-in targets record their runs", required, no_short)]
    records: String,
    #[options(help = "how long", default = "30", no_short)]
    seconds: u64,
    #[options(help = "lookups a second", default = "80", no_short)]
    lookups: f64,
    #[options(help = "postings a second", default = "30", no_short)]
    postings: f64,
    #[options(help = "uploads a second", default = "10", no_short)]
    uploads: f64,
    #[options(help = "coordination calls a second", default = "15", no_short)]
    calls: f64,
    #[options(help = "bytes of one upload", default = "262144", no_short)]
    upload_bytes: usize,
    #[options(
        help = "of retries at once per failed ask, up to this many: a storm",
        default = "0",
        no_short
    )]
    storm: u32,
    #[options(help = "clients that ask again at once and without end", default = "0", no_short)]
    greedy: u64,
    #[options(help = "their lookups a second, all together", default = "800", no_short)]
    greedy_rate: f64,
    #[options(
        help = "lookups a second whose clients leave before their answer",
        default = "0",
        no_short
    )]
    leavers: f64,
    #[options(help = "worker threads", default = "96", no_short)]
    workers: usize,
    #[options(help = "seed", default = "1", no_short)]
    seed: u64,
    #[options(
        help = "allowance of extra tries beyond a fifth, per service and second",
        default = "3.0",
        no_short
    )]
    allowance: f64,
    #[options(
        help = "a stand-in target, asked directly ten times a second to compare",
        meta = "IP:PORT",
        no_short
    )]
    direct: Option<String>,
}

/// What goes on after the load's end, as work for clients that left, shows within this.
const AFTER_LOAD: std::time::Duration = std::time::Duration::from_secs(3);

fn main() -> ExitCode {
    let cli = Arc::new(Cli::parse_args_default_or_exit());
    let nodes = match nodes::Nodes::read(&cli.nodes) {
        Ok(nodes) => Arc::new(nodes),
        Err(error) => {
            eprintln!("{}: {error}", cli.nodes);
            return ExitCode::from(2);
        }
    };
    let ended = Arc::new(AtomicBool::new(false));
    let watching = {
        let (nodes, ended) = (nodes.clone(), ended.clone());
        thread::spawn(move || nodes.watch(&ended))
    };
    nodes.wait_ready();
    let watches = watch::start(&nodes, &ended);
    let storm = Arc::new(greedy::Greedy::default());
    let crowd = greedy::start(cli.greedy, cli.greedy_rate, &nodes, &ended, &storm);
    let leaving = Arc::new(AtomicBool::new(false));
    let leavers = leavers::start(cli.leavers, &nodes, &leaving);
    let asked = schedule::run(&cli, &nodes);
    leaving.store(true, Relaxed);
    let left = leavers.join().unwrap_or_default();
    thread::sleep(AFTER_LOAD);
    ended.store(true, Relaxed);
    crowd.into_iter().for_each(|one| drop(one.join()));
    let watched = watches.join().unwrap_or_default();
    let _ = watching.join();
    let runs = match book::read_runs(&cli.records) {
        Ok(runs) => runs,
        Err(error) => {
            eprintln!("{}: {error}", cli.records);
            return ExitCode::from(2);
        }
    };
    let greedy = storm.goes.load(Relaxed) as usize;
    let budget = book::Budget { seconds: cli.seconds as f64, allowance: cli.allowance, greedy };
    let told: Vec<_> = asked.asks.iter().chain(&asked.direct).cloned().collect();
    let mut violations = book::check(&told, &runs, &budget);
    violations.extend(calls::check(&asked.calls));
    violations.extend(watch::check(&watched, &asked.calls));
    if !left.is_empty() {
        let works = leavers::read_works(&cli.records).unwrap_or_default();
        let summary = leavers::summarize(&left, &works);
        println!(
            "Leavers: {} clients left, {} while a target worked; {} worked on, {} begun late",
            summary.left, summary.at_work, summary.worked_on, summary.began_late
        );
        violations.extend(leavers::check(&summary));
    }
    if greedy > 0 {
        let count = |of: &std::sync::atomic::AtomicU64| of.load(Relaxed);
        println!(
            "Greedy: {greedy} goes, {} served, {} shed, {} failed",
            count(&storm.served),
            count(&storm.shed),
            count(&storm.failed)
        );
    }
    report::print(&asked, &runs, &violations);
    if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
