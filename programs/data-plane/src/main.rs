//! The program `postbarrow-data-plane`: reads the options and runs a data-plane node.

#![deny(missing_docs)]

use gumdrop::Options;
use postbarrow_data_plane::DataPlane;
use postbarrow_startup::{ProgramKind, Startup, UncheckedSettings, run_if_valid};
use std::process::ExitCode;

/// Takes requests over HTTP and passes each to a target that the plan in force allows.
#[derive(Debug, Options)]
struct Cli {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(help = "read and check the settings, report every finding, and end", no_short)]
    check: bool,
    #[options(help = "settings file, JSON", meta = "FILE", short = "s")]
    startup: Option<String>,
    #[options(help = "this node's name", no_short)]
    name: Option<String>,
    #[options(help = "this node's zone", no_short)]
    zone: Option<String>,
    #[options(help = "address for other postbarrow processes", meta = "IP:PORT", no_short)]
    address: Option<String>,
    #[options(help = "where to listen for them, if not there", meta = "IP:PORT", no_short)]
    bind: Option<String>,
    #[options(help = "address for callers", meta = "IP:PORT", no_short)]
    http: Option<String>,
    #[options(
        help = "address of another process; give it three times",
        meta = "IP:PORT",
        no_short
    )]
    seed: Vec<String>,
    #[options(help = "log file; standard error if not given", meta = "FILE", no_short)]
    log: Option<String>,
    #[options(help = "off, error, warn, info, debug or trace", meta = "LEVEL", no_short)]
    level: Option<String>,
}

fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    if cli.version {
        println!("postbarrow-data-plane {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let flags = UncheckedSettings {
        name: cli.name,
        zone: cli.zone,
        address: cli.address,
        bind: cli.bind,
        http: cli.http,
        seeds: cli.seed,
        log: cli.log,
        level: cli.level,
        ..UncheckedSettings::default()
    };
    let load = || Startup::load(ProgramKind::DataPlane, cli.startup.as_deref(), &flags);
    run_if_valid(load(), |startup| {
        if cli.check {
            println!("the settings are sound");
            return ExitCode::SUCCESS;
        }
        startup.serve(DataPlane::start, load, DataPlane::set_seeds, DataPlane::stop)
    })
}
