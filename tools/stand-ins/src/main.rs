//! Stand-ins for the gateway's environment: a target, and the platform's endpoint list.

#![deny(missing_docs)]

mod endpoint_list;
mod error;
mod fault_plan;
mod http;
mod target;

use error::StandInError;
use gumdrop::Options;
use std::process::ExitCode;

/// Stands in for a target or for the platform's list.
#[derive(Debug, Options)]
struct Cli {
    #[options(help = "print help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "a target that records what it runs")]
    Target(target::TargetOptions),
    #[options(help = "the platform's list: paged, slow, rate-limited")]
    List(endpoint_list::ListOptions),
}

fn main() -> ExitCode {
    let result = match Cli::parse_args_default_or_exit().command {
        Some(Command::Target(options)) => target::run(options),
        Some(Command::List(options)) => endpoint_list::run(options),
        None => Err(StandInError::NoCommand),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
