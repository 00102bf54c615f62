//! How the control plane's work grows: the real protocol parts of a whole deployment in one process,
//! on a simulated network and clock, with bytes, messages and processor time counted.

mod runs;
mod step;
mod world;

use gumdrop::Options;
use std::process::ExitCode;

#[derive(Debug, Options)]
pub struct Cli {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "data nodes, one or more sizes", default = "15,60", no_short)]
    nodes: String,
    #[options(help = "targets of each size", default = "35,120", no_short)]
    targets: String,
    #[options(help = "routes of each size", default = "16,200", no_short)]
    routes: String,
    #[options(help = "services", default = "3", no_short)]
    pub services: usize,
    #[options(help = "control nodes", default = "3", no_short)]
    pub control: usize,
    #[options(help = "control nodes that may be lost at once", default = "1", no_short)]
    pub losses: usize,
    #[options(help = "zones", default = "3", no_short)]
    pub zones: usize,
    #[options(help = "one way between zones, microseconds", default = "500", no_short)]
    pub zone_us: u64,
    #[options(help = "one way between the two halves of the zones", default = "500", no_short)]
    pub region_us: u64,
    #[options(help = "a disk's sync, microseconds", default = "5000", no_short)]
    pub sync_us: u64,
    #[options(help = "seconds of calm that are counted", default = "10", no_short)]
    seconds: u64,
}

type Sizes = Vec<(usize, usize, usize)>;

/// All that can't be run, told together.
fn sizes(cli: &Cli) -> Result<Sizes, Vec<String>> {
    let mut findings = Vec::new();
    let mut read = |flag: &str, text: &str| -> Vec<usize> {
        let parts = text.split(',').map(|part| part.trim().parse::<usize>().ok());
        let found: Option<Vec<usize>> = parts.map(|part| part.filter(|size| *size > 0)).collect();
        found.unwrap_or_else(|| {
            findings.push(format!("{flag} {text}: whole numbers above 0, with commas"));
            Vec::new()
        })
    };
    let nodes = read("--nodes", &cli.nodes);
    let targets = read("--targets", &cli.targets);
    let routes = read("--routes", &cli.routes);
    if nodes.len() != targets.len() || nodes.len() != routes.len() {
        findings.push("--nodes, --targets and --routes: as many sizes each".into());
    }
    if !(1..=16).contains(&cli.control) {
        findings.push(format!("--control {}: 1 to 16", cli.control));
    }
    if cli.zones == 0 || cli.services == 0 || cli.seconds == 0 {
        findings.push("--zones, --services and --seconds: at least 1".into());
    }
    if nodes.iter().any(|nodes| *nodes > 20_000) {
        findings.push("--nodes: at most 20000".into());
    }
    if findings.is_empty() {
        let sizes = nodes.into_iter().zip(targets).zip(routes);
        Ok(sizes.map(|((nodes, targets), routes)| (nodes, targets, routes)).collect())
    } else {
        Err(findings)
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    match sizes(&cli) {
        Ok(sizes) => {
            for (nodes, targets, routes) in sizes {
                runs::one(&cli, nodes, targets, routes);
            }
            ExitCode::SUCCESS
        }
        Err(findings) => {
            findings.iter().for_each(|finding| eprintln!("scale-run: {finding}"));
            ExitCode::from(2)
        }
    }
}
