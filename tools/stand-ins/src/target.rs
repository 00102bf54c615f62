//! A stand-in for a target, which records each execution and injects faults.

use crate::error::StandInError;
use crate::fault_plan::FaultGenerator;
use crate::http::{HttpRequest, read_request, write_response};
use facet::Facet;
use gumdrop::Options;
use postbarrow_constants::traffic::IDENTITY_PATH;
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};
use tools_shared::{ExecutionRecord, TargetFault, WorkEnd, sha256_hex, wall_ms};

/// Interval of the checks whether the request's connection has ended, during work whose duration
/// the request sets.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

// The options of the command `target`; a doc comment would be printed in its help.
#[derive(Debug, Options)]
pub struct TargetOptions {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "address to listen on", meta = "IP:PORT", required, no_short)]
    http: String,
    #[options(help = "instance name", required, no_short)]
    instance: String,
    #[options(help = "service name", required, no_short)]
    service: String,
    #[options(help = "a label, NAME=VALUE; may be repeated", no_short)]
    label: Vec<String>,
    #[options(help = "file to which each run is appended", required, no_short)]
    records: String,
    #[options(help = "each run takes this long", default = "2", no_short)]
    work_ms: u64,
    #[options(help = "faults: lost, garbage, cut, endless, lie, double", default = "", no_short)]
    faults: String,
    #[options(help = "faults in a thousand runs", default = "0", no_short)]
    per_mille: u64,
    #[options(help = "seed of the faults", default = "1", no_short)]
    seed: u64,
}

/// The identity that a target reports to the gateway at a well-known path, as JSON.
#[derive(Facet)]
struct TargetIdentity {
    instance: String,
    service: String,
    labels: BTreeMap<String, String>,
    #[facet(rename = "occupancy")]
    in_flight: u64,
}

/// The JSON body of a successful response.
#[derive(Facet)]
struct SuccessBody {
    id: String,
    instance: String,
    /// The SHA-256 of the request's body, in hexadecimal digits.
    digest: String,
    /// Padding, which makes the lengths of bodies vary by their ids.
    pad: String,
}

struct Target {
    options: TargetOptions,
    labels: BTreeMap<String, String>,
    records: File,
    faults: FaultGenerator,
    in_flight: AtomicU64,
}

/// Serves requests until the process is ended.
///
/// # Errors
/// When the target can't listen on its address, the file of execution records can't be opened, or a
/// fault is unknown.
pub fn run(options: TargetOptions) -> Result<(), StandInError> {
    let listener = TcpListener::bind(&options.http).map_err(StandInError::Listen)?;
    let records = OpenOptions::new().create(true).append(true).open(&options.records);
    let labels = options.label.iter().filter_map(|label| label.split_once('='));
    let target = Arc::new(Target {
        labels: labels.map(|(name, value)| (name.to_string(), value.to_string())).collect(),
        records: records
            .map_err(|source| StandInError::Records { file: options.records.clone(), source })?,
        faults: FaultGenerator::parse(&options.faults, options.per_mille, options.seed)?,
        in_flight: AtomicU64::new(0),
        options,
    });
    for stream in listener.incoming().flatten() {
        let target = target.clone();
        std::thread::spawn(move || target.serve(stream));
    }
    Ok(())
}

impl Target {
    /// Serves the requests of one connection until it closes or fails.
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
            if self.handle(&mut stream, &request).is_err() {
                return;
            }
        }
    }

    /// Executes one request, or reports the target's identity. The caller closes the connection
    /// after an error.
    fn handle(&self, stream: &mut TcpStream, request: &HttpRequest) -> io::Result<()> {
        if request.target == IDENTITY_PATH {
            let identity = TargetIdentity {
                instance: self.options.instance.clone(),
                service: self.options.service.clone(),
                labels: self.labels.clone(),
                in_flight: self.in_flight.load(Relaxed),
            };
            return write_response(
                stream,
                200,
                "-",
                &facet_json::to_vec(&identity).unwrap_or_default(),
            );
        }
        self.in_flight.fetch_add(1, Relaxed);
        let result = self.execute(stream, request);
        self.in_flight.fetch_sub(1, Relaxed);
        result
    }

    /// Records the request once, or as often as its fault requires; then works and responds.
    fn execute(&self, stream: &mut TcpStream, request: &HttpRequest) -> io::Result<()> {
        let id = request.header("x-id").unwrap_or("-").to_string();
        let digest = sha256_hex(&request.body);
        let fault = self.faults.draw();
        let runs = match fault {
            Some(TargetFault::FalseSuccess) => 0,
            Some(TargetFault::DoubleRun) => 2,
            _ => 1,
        };
        for _ in 0..runs {
            self.record(&ExecutionRecord::Run {
                id: id.clone(),
                instance: self.options.instance.clone(),
                method: request.method.clone(),
                digest: digest.clone(),
                target: request.target.clone(),
                at_ms: Some(wall_ms()),
            })?;
        }
        if self.work(stream, request, &id)? != WorkEnd::Complete {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let pad = "p".repeat(id.bytes().map(usize::from).sum::<usize>() % 4_096);
        let success = SuccessBody { id, instance: self.options.instance.clone(), digest, pad };
        respond(stream, fault, &facet_json::to_vec(&success).unwrap_or_default())
    }

    /// Works for the duration that the request sets by `X-Work-Ms`, and records the end. If the
    /// request sets none, works for the duration of the option `--work-ms` and records no end.
    fn work(&self, stream: &TcpStream, request: &HttpRequest, id: &str) -> io::Result<WorkEnd> {
        let Some(work_ms) = request.number("x-work-ms") else {
            std::thread::sleep(Duration::from_millis(self.options.work_ms));
            return Ok(WorkEnd::Complete);
        };
        let end = work_for(stream, request, work_ms);
        self.record(&ExecutionRecord::Ended { id: id.into(), end, at_ms: Some(wall_ms()) })?;
        Ok(end)
    }

    fn record(&self, record: &ExecutionRecord) -> io::Result<()> {
        (&self.records).write_all(format!("{record}\n").as_bytes())
    }
}

/// Responds with this body, or as the fault requires.
fn respond(stream: &mut TcpStream, fault: Option<TargetFault>, body: &[u8]) -> io::Result<()> {
    let digest = sha256_hex(body);
    match fault {
        Some(TargetFault::Lost) => {}
        Some(TargetFault::Garbage) => stream.write_all(b"\x16\x03\x01 not http\r\n\r\n")?,
        Some(TargetFault::Truncated) => {
            let length = body.len();
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nX-Digest: {digest}\r\nContent-Length: {length}\r\n\r\n"
            )?;
            stream.write_all(&body[..length / 2])?;
        }
        Some(TargetFault::Unterminated) => {
            write!(stream, "HTTP/1.1 200 OK\r\nX-Digest: {digest}\r\nConnection: close\r\n\r\n")?;
            stream.write_all(&body[..body.len() / 2])?;
        }
        Some(TargetFault::FalseSuccess | TargetFault::DoubleRun) | None => {
            return write_response(stream, 200, &digest, body);
        }
    }
    Err(io::ErrorKind::ConnectionAborted.into())
}

/// Works for `work_ms` milliseconds, unless the connection ends before or the request sets an
/// earlier abort by `X-Break-Ms`.
fn work_for(stream: &TcpStream, request: &HttpRequest, work_ms: u64) -> WorkEnd {
    let break_ms = request.number("x-break-ms").unwrap_or(u64::MAX);
    let start = Instant::now();
    loop {
        let worked_ms = start.elapsed().as_millis() as u64;
        if has_ended(stream) {
            return WorkEnd::Dropped;
        }
        if worked_ms >= break_ms {
            return WorkEnd::Aborted;
        }
        if worked_ms >= work_ms {
            return WorkEnd::Complete;
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
}

/// Returns whether the peer has closed the connection or the connection has failed.
fn has_ended(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
