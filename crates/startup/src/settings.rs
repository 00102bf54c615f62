use crate::Bounds;
use postbarrow_reading::{Fields, Finding, Findings, Reading, Value, text};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramKind {
    DataPlane,
    ControlPlane,
}

/// Where a process stands: its addresses, its zone, three seeds, and what only its part needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Startup {
    pub name: String,
    pub zone: String,
    /// Where other postbarrow processes reach this one.
    pub address: SocketAddr,
    /// Where it listens for them, if its address leads to it by way of something else.
    pub bind: Option<SocketAddr>,
    /// Where callers, or operators, reach this one.
    pub http: SocketAddr,
    /// Where a data node is asked whether it is ready, if not at `http`.
    pub readiness: Option<SocketAddr>,
    pub seeds: Vec<SocketAddr>,
    pub data: Option<PathBuf>,
    /// No log is known to exist yet, so empty disks may begin one.
    pub may_bootstrap: bool,
    /// The data folder does not last, so this control node is never a member.
    pub observer: bool,
    /// Control nodes that begin the log together; none: any three with empty disks.
    pub bootstrap_members: Option<Vec<SocketAddr>>,
    pub endpoint_list_url: Option<String>,
    pub log: Option<PathBuf>,
    pub level: log::LevelFilter,
    pub bounds: Bounds,
}

/// The same on the command line; a flag beats the file.
#[derive(Clone, Debug, Default)]
pub struct Flags {
    pub name: Option<String>,
    pub zone: Option<String>,
    pub address: Option<String>,
    pub bind: Option<String>,
    pub http: Option<String>,
    pub seeds: Vec<String>,
    pub data: Option<String>,
    pub endpoint_list_url: Option<String>,
    pub log: Option<String>,
    pub level: Option<String>,
}

impl Startup {
    /// Binds for links, and tells the address that others are given.
    pub fn listen(&self) -> std::io::Result<(TcpListener, SocketAddr)> {
        let listener = TcpListener::bind(self.bind.unwrap_or(self.address))?;
        let own = match self.bind {
            Some(_) => self.address,
            None => listener.local_addr()?,
        };
        Ok((listener, own))
    }

    /// Reads the file, lets flags overrule it, and reports every finding of both together.
    pub fn read(part: ProgramKind, file: &str, flags: &Flags) -> Result<Startup, Findings> {
        let (value, mut reading) = Reading::parse(file)?;
        let from_file = read_fields(&value, &mut reading);
        let given = merge(from_file, flags);
        let made = check(part, given, &mut reading);
        match made {
            Some(made) => reading.finish(made),
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

fn read_fields(value: &Value, reading: &mut Reading) -> Flags {
    let mut given = Flags::default();
    let Some(mut fields) = Fields::of(value, "$", reading) else { return given };
    let mut take = |field| fields.text_or_none(field, reading).map(str::to_string);
    given.name = take("name");
    given.zone = take("zone");
    given.address = take("address");
    given.bind = take("bind");
    given.http = take("http");
    given.data = take("data");
    given.endpoint_list_url = take("list");
    given.log = take("log");
    given.level = take("level");
    if fields.get("seeds").is_some() {
        for (place, value) in fields.array("seeds", reading) {
            if let Some(seed) = text(value, &place, reading) {
                given.seeds.push(seed.to_string());
            }
        }
    }
    fields.finish(reading);
    given
}

fn merge(file: Flags, flags: &Flags) -> Flags {
    let pick = |flag: &Option<String>, file: Option<String>| flag.clone().or(file);
    Flags {
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

fn check(part: ProgramKind, given: Flags, reading: &mut Reading) -> Option<Startup> {
    let mut address = |field: &str, text: Option<&String>| match text.map(|text| text.parse()) {
        Some(Ok(address)) => Some(address),
        Some(Err(_)) => {
            reading.find(&format!("$.{field}"), "must be an IP address and port".into());
            None
        }
        None => {
            reading.find(&format!("$.{field}"), "is missing".into());
            None
        }
    };
    let own: Option<SocketAddr> = address("address", given.address.as_ref());
    let http: Option<SocketAddr> = address("http", given.http.as_ref());
    let bind = given.bind.as_ref().and_then(|bind| address("bind", Some(bind)));
    let mut seeds = Vec::new();
    for (at, seed) in given.seeds.iter().enumerate() {
        seeds.extend(address(&format!("seeds[{at}]"), Some(seed)));
    }
    if given.seeds.is_empty() {
        reading
            .find("$.seeds", "must name at least one other process, and should name three".into());
    }
    if own.is_some() && own == http {
        reading.find("$.http", "is the same as $.address".into());
    }
    for (field, text) in [("name", &given.name), ("zone", &given.zone)] {
        match text {
            Some(text) if (1..=64).contains(&text.len()) => {}
            Some(_) => reading.find(&format!("$.{field}"), "must have 1 to 64 bytes".into()),
            None => reading.find(&format!("$.{field}"), "is missing".into()),
        }
    }
    match (part, &given.data) {
        (ProgramKind::ControlPlane, None) => reading.find("$.data", "is missing".into()),
        (ProgramKind::DataPlane, Some(_)) => {
            reading.find("$.data", "is for the control plane: data nodes have no disk".into())
        }
        _ => {}
    }
    match (part, &given.endpoint_list_url) {
        (ProgramKind::ControlPlane, None) => reading.find("$.list", "is missing".into()),
        (ProgramKind::ControlPlane, Some(list)) if !list.starts_with("http://") => {
            reading.find("$.list", "must begin with http://".into())
        }
        (ProgramKind::DataPlane, Some(_)) => {
            reading.find("$.list", "is for the control plane".into())
        }
        _ => {}
    }
    let level = match given.level.as_deref().unwrap_or("info").parse() {
        Ok(level) => level,
        Err(_) => {
            reading.find("$.level", "must be off, error, warn, info, debug or trace".into());
            log::LevelFilter::Info
        }
    };
    Some(Startup {
        name: given.name?,
        zone: given.zone?,
        address: own?,
        bind,
        http: http?,
        readiness: None,
        seeds,
        data: given.data.map(PathBuf::from),
        may_bootstrap: true,
        observer: false,
        bootstrap_members: None,
        endpoint_list_url: given.endpoint_list_url,
        log: given.log.map(PathBuf::from),
        level,
        bounds: Bounds::default(),
    })
}

#[cfg(test)]
mod tests;
