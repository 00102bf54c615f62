//! The command line. Its names and help texts are the operators' interface.

use gumdrop::Options;
use postbarrow_startup::UncheckedSettings;

/// Keeps the replicated log; its commands are the operator's.
#[derive(Debug, Options)]
pub struct Cli {
    #[options(help = "print help")]
    pub help: bool,
    #[options(help = "print the version", short = "V")]
    pub version: bool,
    #[options(command)]
    pub command: Option<Command>,
}

#[derive(Debug, Options)]
pub enum Command {
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
pub struct SettingsFlags {
    #[options(help = "print help")]
    pub help: bool,
    #[options(help = "settings file, JSON", meta = "FILE", short = "s")]
    pub startup: Option<String>,
    #[options(help = "this node's name", no_short)]
    pub name: Option<String>,
    #[options(help = "this node's zone", no_short)]
    pub zone: Option<String>,
    #[options(help = "address for other postbarrow processes", meta = "IP:PORT", no_short)]
    pub address: Option<String>,
    #[options(help = "where to listen for them, if not there", meta = "IP:PORT", no_short)]
    pub bind: Option<String>,
    #[options(help = "address for operators", meta = "IP:PORT", no_short)]
    pub http: Option<String>,
    #[options(
        help = "address of another process; give it three times",
        meta = "IP:PORT",
        no_short
    )]
    pub seed: Vec<String>,
    #[options(help = "data folder", meta = "FOLDER", no_short)]
    pub data: Option<String>,
    #[options(help = "the platform's list of targets", meta = "URL", no_short)]
    pub list: Option<String>,
    #[options(help = "log file; standard error if not given", meta = "FILE", no_short)]
    pub log: Option<String>,
    #[options(help = "off, error, warn, info, debug or trace", meta = "LEVEL", no_short)]
    pub level: Option<String>,
}

#[derive(Debug, Options)]
pub struct Submit {
    #[options(help = "print help")]
    pub help: bool,
    #[options(help = "a control node's operator address; may be repeated", meta = "IP:PORT")]
    pub control: Vec<String>,
    #[options(help = "let a routed service be without a live target", no_short)]
    pub allow_empty: bool,
    #[options(
        help = "recent asks that may lose their route; none given: any",
        meta = "N",
        no_short
    )]
    pub most_lost: Option<u64>,
    #[options(help = "recent asks that may change service, targets or kind", meta = "N", no_short)]
    pub most_changed: Option<u64>,
    #[options(help = "recent asks that may break a new limit", meta = "N", no_short)]
    pub most_limited: Option<u64>,
    #[options(free, required, help = "the plan, JSON")]
    pub plan: String,
}

#[derive(Debug, Options)]
pub struct Query {
    #[options(help = "print help")]
    pub help: bool,
    #[options(help = "a control node's operator address; may be repeated", meta = "IP:PORT")]
    pub control: Vec<String>,
}

impl SettingsFlags {
    /// Returns the settings that were given as flags, without the path of the settings file.
    pub fn flags(&self) -> UncheckedSettings {
        UncheckedSettings {
            name: self.name.clone(),
            zone: self.zone.clone(),
            address: self.address.clone(),
            bind: self.bind.clone(),
            http: self.http.clone(),
            seeds: self.seed.clone(),
            data: self.data.clone(),
            endpoint_list_url: self.list.clone(),
            log: self.log.clone(),
            level: self.level.clone(),
        }
    }
}

impl Submit {
    /// Returns the path and query of the submission's HTTP request.
    pub fn path(&self, is_dry_run: bool) -> String {
        let mut path = format!("/plans?dry-run={is_dry_run}&allow-empty={}", self.allow_empty);
        let bounds = [
            ("most-lost", self.most_lost),
            ("most-changed", self.most_changed),
            ("most-limited", self.most_limited),
        ];
        for (name, bound) in bounds {
            path += &bound.map_or(String::new(), |bound| format!("&{name}={bound}"));
        }
        path
    }
}
