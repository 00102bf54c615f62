//! `postbarrow-control-plane`: runs a control node, and sends an operator's commands to one.

mod cli;

use cli::{Cli, Command, SettingsFlags, Submit};
use gumdrop::Options;
use postbarrow_control_plane::{ControlPlane, operator_client};
use postbarrow_plan::Plan;
use postbarrow_startup::{ProgramKind, SettingsError, Startup, run_if_valid};
use std::process::ExitCode;

/// Exit status when the command line, or a file that it names, is invalid.
const USAGE_STATUS: u8 = 2;
/// Exit status when no control node responded.
const UNREACHABLE_STATUS: u8 = 4;

fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    if cli.version {
        println!("postbarrow-control-plane {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match cli.command {
        None => {
            eprintln!("a command is required; --help lists the commands");
            ExitCode::from(USAGE_STATUS)
        }
        Some(Command::Run(settings)) => with_startup(&settings, |startup, load| {
            startup.serve(ControlPlane::start, load, ControlPlane::set_seeds, ControlPlane::stop)
        }),
        Some(Command::Check(settings)) => with_startup(&settings, |_, _| {
            println!("the settings are sound");
            ExitCode::SUCCESS
        }),
        Some(Command::Submit(submit)) => send_plan(&submit, false),
        Some(Command::DryRun(submit)) => send_plan(&submit, true),
        Some(Command::Show(query)) => send(&query.control, "/plan", None),
        Some(Command::Targets(query)) => send(&query.control, "/targets", None),
        Some(Command::Members(query)) => send(&query.control, "/members", None),
        Some(Command::Status(query)) => send(&query.control, "/status", None),
    }
}

fn with_startup(
    settings: &SettingsFlags,
    then: impl FnOnce(&Startup, &dyn Fn() -> Result<Startup, SettingsError>) -> ExitCode,
) -> ExitCode {
    let flags = settings.flags();
    let load = || Startup::load(ProgramKind::ControlPlane, settings.startup.as_deref(), &flags);
    run_if_valid(load(), |startup| then(startup, &load))
}

/// Submits a plan. It is checked before it is sent, so that each finding can be shown at its place
/// in the plan's text.
fn send_plan(submit: &Submit, is_dry_run: bool) -> ExitCode {
    let plan = match std::fs::read(&submit.plan) {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("can't read the plan {}: {error}", submit.plan);
            return ExitCode::from(USAGE_STATUS);
        }
    };
    if let Err(findings) = Plan::read(&plan) {
        let text = String::from_utf8_lossy(&plan);
        eprintln!("{:?}", findings.report(&submit.plan, &text));
        return ExitCode::from(USAGE_STATUS);
    }
    send(&submit.control, &submit.path(is_dry_run), Some(plan))
}

/// Sends a command and prints the response: headers to standard error, the body to standard output.
fn send(control: &[String], path: &str, plan: Option<Vec<u8>>) -> ExitCode {
    if control.is_empty() {
        eprintln!("--control is required");
        return ExitCode::from(USAGE_STATUS);
    }
    match operator_client::send_command(control, path, plan) {
        Ok(response) => {
            for (name, value) in &response.headers {
                eprintln!("{name}: {value}");
            }
            print!("{}", response.body);
            if response.status == 200 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(UNREACHABLE_STATUS)
        }
    }
}
