//! The settings of a process, from a file (JSON) and from flags, which override it.

use crate::Bounds;
use postbarrow_reading::{DocumentReader, Fields, Finding, Findings, Value, text};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

/// The program that the settings are for. The two programs require different settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramKind {
    /// The data plane, which serves clients and has no disk.
    DataPlane,
    /// The control plane, which replicates the log. It requires a data folder and the endpoint
    /// list.
    ControlPlane,
}

/// The checked settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Startup {
    /// The process's name in logs and in the status.
    pub name: String,
    /// The zone of the process's machine.
    pub zone: String,
    /// The address at which other postbarrow processes reach this one.
    pub address: SocketAddr,
    /// The address to bind for other postbarrow processes, if they reach this one at `address`
    /// indirectly; none: `address`.
    pub bind: Option<SocketAddr>,
    /// The HTTP address for clients of a data node, or for operators and applications of a control
    /// node.
    pub http: SocketAddr,
    /// The address at which a data node answers readiness checks; none: `http`.
    pub readiness: Option<SocketAddr>,
    /// Addresses of other processes. One that responds is enough to find all processes.
    pub seeds: Vec<SocketAddr>,
    /// The data folder; none for a data node.
    pub data: Option<PathBuf>,
    /// Whether control nodes with empty disks may bootstrap a new log; false if a log is known to
    /// exist.
    pub may_bootstrap: bool,
    /// Whether this control node is an observer: its data folder is not persistent, so it is never
    /// a member of the log.
    pub is_observer: bool,
    /// The control nodes that bootstrap the log together; none: any three with empty disks.
    pub bootstrap_members: Option<Vec<SocketAddr>>,
    /// The URL of the platform's endpoint list, which only a control node reads.
    pub endpoint_list_url: Option<String>,
    /// The path of the log file; none: the log is written to standard error.
    pub log: Option<PathBuf>,
    /// The least severe level that is logged.
    pub level: log::LevelFilter,
    /// The bounds that the deployment sets; all unset if the settings come from Postbarrow's own
    /// file and flags.
    pub bounds: Bounds,
}

/// Settings that are not checked yet, from the file or from the command line. Each field is named
/// after its key, except `endpoint_list_url`; none or empty if it was not given.
#[derive(Clone, Debug, Default)]
pub struct UncheckedSettings {
    /// The process's name, `name`.
    pub name: Option<String>,
    /// The zone of the process's machine, `zone`.
    pub zone: Option<String>,
    /// The address for other postbarrow processes, `address`: an IP address and port.
    pub address: Option<String>,
    /// The address to bind for other postbarrow processes, `bind`: an IP address and port.
    pub bind: Option<String>,
    /// The HTTP address, `http`: an IP address and port.
    pub http: Option<String>,
    /// Addresses of other processes, `seeds`: IP addresses and ports.
    pub seeds: Vec<String>,
    /// The path of the data folder, `data`.
    pub data: Option<String>,
    /// The URL of the endpoint list, `list`.
    pub endpoint_list_url: Option<String>,
    /// The path of the log file, `log`.
    pub log: Option<String>,
    /// The least severe level that is logged, `level`.
    pub level: Option<String>,
}

impl Startup {
    /// Binds the listener for other postbarrow processes. Returns it with the address at which they
    /// reach this process.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn listen(&self) -> std::io::Result<(TcpListener, SocketAddr)> {
        let listener = TcpListener::bind(self.bind.unwrap_or(self.address))?;
        let address = match self.bind {
            Some(_) => self.address,
            None => listener.local_addr()?,
        };
        Ok((listener, address))
    }

    /// Reads the settings file's text and lets the flags override it.
    ///
    /// # Errors
    /// The file or the flags have findings; all of them are returned.
    pub fn read(
        program: ProgramKind,
        file: &str,
        flags: &UncheckedSettings,
    ) -> Result<Startup, Findings> {
        let (value, mut reading) = DocumentReader::parse(file)?;
        let from_file = read_fields(&value, &mut reading);
        let merged = merge(from_file, flags);
        match check(program, merged, &mut reading) {
            Some(startup) => reading.finish(startup),
            None => Err(reading.finish(()).err().unwrap_or_else(|| Findings {
                findings: vec![Finding {
                    field_path: "$".into(),
                    line: None,
                    offset: None,
                    message: "can't be read".into(),
                }],
            })),
        }
    }
}

fn read_fields(value: &Value, reading: &mut DocumentReader) -> UncheckedSettings {
    let mut settings = UncheckedSettings::default();
    let Some(mut fields) = Fields::of(value, "$", reading) else { return settings };
    let mut take = |field| fields.optional_text(field, reading).map(str::to_string);
    settings.name = take("name");
    settings.zone = take("zone");
    settings.address = take("address");
    settings.bind = take("bind");
    settings.http = take("http");
    settings.data = take("data");
    settings.endpoint_list_url = take("list");
    settings.log = take("log");
    settings.level = take("level");
    if fields.get("seeds").is_some() {
        for (field_path, value) in fields.array("seeds", reading) {
            if let Some(seed) = text(value, &field_path, reading) {
                settings.seeds.push(seed.to_string());
            }
        }
    }
    fields.finish(reading);
    settings
}

fn merge(file: UncheckedSettings, flags: &UncheckedSettings) -> UncheckedSettings {
    let pick = |flag: &Option<String>, file: Option<String>| flag.clone().or(file);
    UncheckedSettings {
        name: pick(&flags.name, file.name),
        zone: pick(&flags.zone, file.zone),
        address: pick(&flags.address, file.address),
        bind: pick(&flags.bind, file.bind),
        http: pick(&flags.http, file.http),
        seeds: if flags.seeds.is_empty() { file.seeds } else { flags.seeds.clone() },
        data: pick(&flags.data, file.data),
        endpoint_list_url: pick(&flags.endpoint_list_url, file.endpoint_list_url),
        log: pick(&flags.log, file.log),
        level: pick(&flags.level, file.level),
    }
}

/// Checks every field. The report lists the findings in the order of these checks.
fn check(
    program: ProgramKind,
    settings: UncheckedSettings,
    reading: &mut DocumentReader,
) -> Option<Startup> {
    let address = required_address("address", settings.address.as_ref(), reading);
    let http = required_address("http", settings.http.as_ref(), reading);
    let bind = settings.bind.as_ref().and_then(|bind| parse_address("bind", bind, reading));
    let seeds = check_seeds(&settings.seeds, reading);
    if address.is_some() && address == http {
        reading.add_finding("$.http", "is the same as $.address".into());
    }
    check_names(&settings, reading);
    check_data(program, settings.data.as_ref(), reading);
    check_endpoint_list(program, settings.endpoint_list_url.as_deref(), reading);
    let level = check_level(settings.level.as_deref(), reading);
    Some(Startup {
        name: settings.name?,
        zone: settings.zone?,
        address: address?,
        bind,
        http: http?,
        readiness: None,
        seeds,
        data: settings.data.map(PathBuf::from),
        may_bootstrap: true,
        is_observer: false,
        bootstrap_members: None,
        endpoint_list_url: settings.endpoint_list_url,
        log: settings.log.map(PathBuf::from),
        level,
        bounds: Bounds::default(),
    })
}

fn parse_address(field: &str, text: &str, reading: &mut DocumentReader) -> Option<SocketAddr> {
    let address = text.parse().ok();
    if address.is_none() {
        reading.add_finding(&format!("$.{field}"), "must be an IP address and port".into());
    }
    address
}

fn required_address(
    field: &str,
    text: Option<&String>,
    reading: &mut DocumentReader,
) -> Option<SocketAddr> {
    if text.is_none() {
        reading.add_finding(&format!("$.{field}"), "is missing".into());
    }
    parse_address(field, text?, reading)
}

fn check_seeds(texts: &[String], reading: &mut DocumentReader) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for (index, seed) in texts.iter().enumerate() {
        seeds.extend(parse_address(&format!("seeds[{index}]"), seed, reading));
    }
    if texts.is_empty() {
        reading.add_finding(
            "$.seeds",
            "must name at least one other process, and should name three".into(),
        );
    }
    seeds
}

fn check_names(settings: &UncheckedSettings, reading: &mut DocumentReader) {
    for (field, text) in [("name", &settings.name), ("zone", &settings.zone)] {
        match text {
            Some(text) if (1..=64).contains(&text.len()) => {}
            Some(_) => reading.add_finding(&format!("$.{field}"), "must have 1 to 64 bytes".into()),
            None => reading.add_finding(&format!("$.{field}"), "is missing".into()),
        }
    }
}

fn check_data(program: ProgramKind, data: Option<&String>, reading: &mut DocumentReader) {
    match (program, data) {
        (ProgramKind::ControlPlane, None) => reading.add_finding("$.data", "is missing".into()),
        (ProgramKind::DataPlane, Some(_)) => reading
            .add_finding("$.data", "is for the control plane: data nodes have no disk".into()),
        _ => {}
    }
}

fn check_endpoint_list(program: ProgramKind, url: Option<&str>, reading: &mut DocumentReader) {
    match (program, url) {
        (ProgramKind::ControlPlane, None) => reading.add_finding("$.list", "is missing".into()),
        (ProgramKind::ControlPlane, Some(url)) if !url.starts_with("http://") => {
            reading.add_finding("$.list", "must begin with http://".into())
        }
        (ProgramKind::DataPlane, Some(_)) => {
            reading.add_finding("$.list", "is for the control plane".into())
        }
        _ => {}
    }
}

fn check_level(level: Option<&str>, reading: &mut DocumentReader) -> log::LevelFilter {
    level.unwrap_or("info").parse().unwrap_or_else(|_| {
        reading.add_finding("$.level", "must be off, error, warn, info, debug or trace".into());
        log::LevelFilter::Info
    })
}

#[cfg(test)]
mod tests;
