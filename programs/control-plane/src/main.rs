use gumdrop::Options;
use postbarrow_control_plane::{ControlPlane, client};
use postbarrow_plan::Plan;
use postbarrow_startup::{Flags, ProgramKind, Startup, with_checked};
use std::process::ExitCode;

/// Keeps the replicated log; its commands are the operator's.
#[derive(Debug, Options)]
struct Cli {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run a control node")]
    Run(SettingsFlags),
    #[options(help = "read and check the settings, report every finding, and end")]
    Check(SettingsFlags),
    #[options(help = "hand over a plan; it is in force on all nodes or never was")]
    Submit(Submit),
    #[options(help = "rehearse a plan against the one in force, and throw it away")]
    DryRun(Submit),
    #[options(help = "print the plan in force, byte for byte")]
    Show(Query),
    #[options(help = "print the targets with their condition and services")]
    Targets(Query),
    #[options(help = "print the control plane's members")]
    Members(Query),
    #[options(help = "print term, watermark, hold, and the version in force on each node")]
    Status(Query),
}

#[derive(Debug, Options)]
struct SettingsFlags {
    #[options(help = "print help")]
    help: bool,
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
    #[options(help = "address for operators", meta = "IP:PORT", no_short)]
    http: Option<String>,
    #[options(
        help = "address of another process; give it three times",
        meta = "IP:PORT",
        no_short
    )]
    seed: Vec<String>,
    #[options(help = "data folder", meta = "FOLDER", no_short)]
    data: Option<String>,
    #[options(help = "the platform's list of targets", meta = "URL", no_short)]
    list: Option<String>,
    #[options(help = "log file; standard error if not given", meta = "FILE", no_short)]
    log: Option<String>,
    #[options(help = "off, error, warn, info, debug or trace", meta = "LEVEL", no_short)]
    level: Option<String>,
}

#[derive(Debug, Options)]
struct Submit {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "a control node's operator address; may be repeated", meta = "IP:PORT")]
    control: Vec<String>,
    #[options(help = "let a routed service be without a live target", no_short)]
    allow_empty: bool,
    #[options(
        help = "recent asks that may lose their route; none given: any",
        meta = "N",
        no_short
    )]
    most_lost: Option<u64>,
    #[options(help = "recent asks that may change service, targets or kind", meta = "N", no_short)]
    most_changed: Option<u64>,
    #[options(help = "recent asks that may break a new limit", meta = "N", no_short)]
    most_limited: Option<u64>,
    #[options(free, required, help = "the plan, JSON")]
    plan: String,
}

#[derive(Debug, Options)]
struct Query {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "a control node's operator address; may be repeated", meta = "IP:PORT")]
    control: Vec<String>,
}

fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    if cli.version {
        println!("postbarrow-control-plane {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match cli.command {
        None => {
            eprintln!("a command is needed; --help lists them");
            ExitCode::from(2)
        }
        Some(Command::Run(place)) => with_startup(place, |startup, load| {
            startup.serve(ControlPlane::start, load, ControlPlane::seeds, ControlPlane::stop)
        }),
        Some(Command::Check(place)) => with_startup(place, |_, _| {
            println!("the settings are sound");
            ExitCode::SUCCESS
        }),
        Some(Command::Submit(submit)) => hand_over(&submit, false),
        Some(Command::DryRun(submit)) => hand_over(&submit, true),
        Some(Command::Show(ask)) => print(&ask.control, "/plan", None),
        Some(Command::Targets(ask)) => print(&ask.control, "/targets", None),
        Some(Command::Members(ask)) => print(&ask.control, "/members", None),
        Some(Command::Status(ask)) => print(&ask.control, "/status", None),
    }
}

fn with_startup(
    place: SettingsFlags,
    then: impl FnOnce(&Startup, &dyn Fn() -> Result<Startup, String>) -> ExitCode,
) -> ExitCode {
    let flags = Flags {
        name: place.name,
        zone: place.zone,
        address: place.address,
        bind: place.bind,
        http: place.http,
        seeds: place.seed,
        data: place.data,
        endpoint_list_url: place.list,
        log: place.log,
        level: place.level,
    };
    let load = || Startup::load(ProgramKind::ControlPlane, place.startup.as_deref(), &flags);
    with_checked(load(), |startup| then(startup, &load))
}

/// The plan is checked here too, so that its findings are shown in its own text.
fn hand_over(submit: &Submit, dry: bool) -> ExitCode {
    let given = match std::fs::read(&submit.plan) {
        Ok(given) => given,
        Err(error) => {
            eprintln!("{}: {error}", submit.plan);
            return ExitCode::from(2);
        }
    };
    if let Err(findings) = Plan::read(&given) {
        let text = String::from_utf8_lossy(&given);
        eprintln!("{:?}", findings.report(&submit.plan, &text));
        return ExitCode::from(2);
    }
    let mut path = format!("/plans?dry-run={dry}&allow-empty={}", submit.allow_empty);
    let most = [
        ("most-lost", submit.most_lost),
        ("most-changed", submit.most_changed),
        ("most-limited", submit.most_limited),
    ];
    for (name, most) in most {
        path += &most.map_or(String::new(), |most| format!("&{name}={most}"));
    }
    print(&submit.control, &path, Some(given))
}

fn print(control: &[String], path: &str, plan: Option<Vec<u8>>) -> ExitCode {
    if control.is_empty() {
        eprintln!("--control is needed");
        return ExitCode::from(2);
    }
    match client::send_command(control, path, plan) {
        Ok(answer) => {
            for (name, value) in &answer.about {
                eprintln!("{name}: {value}");
            }
            print!("{}", answer.body);
            if answer.status == 200 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(4)
        }
    }
}
