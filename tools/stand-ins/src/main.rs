//! Stand-ins for what surrounds the gateway: a target, and the platform's list of targets.

mod fault;
mod list;
mod target;
mod wire;

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
    Target(target::Place),
    #[options(help = "the platform's list: paged, slow, rate-limited")]
    List(list::Place),
}

fn main() -> ExitCode {
    let ended = match Cli::parse_args_default_or_exit().command {
        Some(Command::Target(place)) => target::run(place),
        Some(Command::List(place)) => list::run(place),
        None => Err("a command is needed; --help lists them".into()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
