use crate::fault::{Fault, Faults};
use crate::wire::{Ask, read, write};
use facet::Facet;
use gumdrop::Options;
use postbarrow_constants::traffic::PROOF_PATH;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

#[derive(Debug, Options)]
pub struct Place {
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

#[derive(Facet)]
struct Proof {
    instance: String,
    service: String,
    labels: BTreeMap<String, String>,
    occupancy: u64,
}

#[derive(Facet)]
struct Ran {
    id: String,
    instance: String,
    digest: String,
    pad: String,
}

struct Target {
    place: Place,
    labels: BTreeMap<String, String>,
    records: File,
    faults: Faults,
    occupancy: AtomicU64,
}

pub fn run(place: Place) -> Result<(), String> {
    let listener = TcpListener::bind(&place.http).map_err(|error| error.to_string())?;
    let records = OpenOptions::new().create(true).append(true).open(&place.records);
    let labels = place.label.iter().filter_map(|label| label.split_once('='));
    let target = Arc::new(Target {
        labels: labels.map(|(name, value)| (name.to_string(), value.to_string())).collect(),
        records: records.map_err(|error| format!("{}: {error}", place.records))?,
        faults: Faults::read(&place.faults, place.per_mille, place.seed)?,
        occupancy: AtomicU64::new(0),
        place,
    });
    for stream in listener.incoming().flatten() {
        let target = target.clone();
        std::thread::spawn(move || serve(&target, stream));
    }
    Ok(())
}

fn serve(target: &Target, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(ask)) = read(&mut stream, &mut buffer) {
        if one(target, &mut stream, &ask).is_err() {
            return;
        }
    }
}

fn one(target: &Target, stream: &mut TcpStream, ask: &Ask) -> io::Result<()> {
    if ask.target == PROOF_PATH {
        let proof = Proof {
            instance: target.place.instance.clone(),
            service: target.place.service.clone(),
            labels: target.labels.clone(),
            occupancy: target.occupancy.load(Relaxed),
        };
        return write(stream, 200, "-", &facet_json::to_vec(&proof).unwrap_or_default());
    }
    target.occupancy.fetch_add(1, Relaxed);
    let ended = work(target, stream, ask);
    target.occupancy.fetch_sub(1, Relaxed);
    ended
}

/// How often a long work looks whether its connection ended.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// How a long work ended.
enum LongWork {
    Whole,
    /// Its connection ended first.
    Dropped,
    /// This target broke, as it was told to.
    Broke,
}

/// Works for as long as the request asks for, unless its connection ends, or it is to break before.
fn work_long(stream: &TcpStream, ask: &Ask, work_ms: u64) -> LongWork {
    let given = |name: &str| ask.header(name).and_then(|text| text.parse::<u64>().ok());
    let breaks_ms = given("x-break-ms").unwrap_or(u64::MAX);
    let began = std::time::Instant::now();
    loop {
        let worked_ms = began.elapsed().as_millis() as u64;
        if has_ended(stream) {
            return LongWork::Dropped;
        }
        if worked_ms >= breaks_ms {
            return LongWork::Broke;
        }
        if worked_ms >= work_ms {
            return LongWork::Whole;
        }
        std::thread::sleep(LOOK_EVERY);
    }
}

fn has_ended(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let seen = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match seen {
        Ok(length) => length == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Whether the request's long work came to its end; how it ended is recorded.
fn long_work_is_whole(
    target: &Target,
    stream: &TcpStream,
    ask: &Ask,
    id: &str,
) -> io::Result<bool> {
    let Some(work_ms) = ask.header("x-work-ms").and_then(|text| text.parse().ok()) else {
        std::thread::sleep(Duration::from_millis(target.place.work_ms));
        return Ok(true);
    };
    let ended = work_long(stream, ask, work_ms);
    let how = match ended {
        LongWork::Whole => "whole",
        LongWork::Dropped => "dropped",
        LongWork::Broke => "broke",
    };
    (&target.records).write_all(format!("ended {id} {how} {}\n", wall_ms()).as_bytes())?;
    Ok(matches!(ended, LongWork::Whole))
}

fn work(target: &Target, stream: &mut TcpStream, ask: &Ask) -> io::Result<()> {
    let id = ask.header("x-id").unwrap_or("-").to_string();
    let digest = hex(&Sha256::digest(&ask.body));
    let fault = target.faults.draw();
    let runs = match fault {
        Fault::Lie => 0,
        Fault::Double => 2,
        _ => 1,
    };
    for _ in 0..runs {
        let (instance, at_ms) = (&target.place.instance, wall_ms());
        let line = format!("{id} {instance} {} {digest} {} {at_ms}\n", ask.method, ask.target);
        (&target.records).write_all(line.as_bytes())?;
    }
    if !long_work_is_whole(target, stream, ask, &id)? {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    let pad = "p".repeat(id.bytes().map(usize::from).sum::<usize>() % 4_096);
    let ran = Ran { id, instance: target.place.instance.clone(), digest, pad };
    let body = facet_json::to_vec(&ran).unwrap_or_default();
    let whole = hex(&Sha256::digest(&body));
    let ended: io::Result<()> = Err(io::ErrorKind::ConnectionAborted.into());
    match fault {
        Fault::Lost => ended,
        Fault::Garbage => {
            stream.write_all(b"\x16\x03\x01 not http\r\n\r\n")?;
            ended
        }
        Fault::Cut => {
            let length = body.len();
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nX-Digest: {whole}\r\nContent-Length: {length}\r\n\r\n"
            )?;
            stream.write_all(&body[..length / 2])?;
            ended
        }
        Fault::Endless => {
            write!(stream, "HTTP/1.1 200 OK\r\nX-Digest: {whole}\r\nConnection: close\r\n\r\n")?;
            stream.write_all(&body[..body.len() / 2])?;
            ended
        }
        _ => write(stream, 200, &whole, &body),
    }
}

fn wall_ms() -> u128 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
