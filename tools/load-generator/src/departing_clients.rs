//! Clients that close their connection before their response, and the check that no target works
//! on for them.

use crate::nodes::Nodes;
use socket2::SockRef;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tools_shared::{ExecutionRecord, mix, wall_ms};

/// Work for a departed client may last so much longer: the close has to reach the target.
const GRACE_MS: u64 = 500;
/// Requests that may reach a target later than that: a few, in one run.
const LATE_STARTS_ALLOWED: usize = 3;
/// Of works that would have lasted longer, at most one in so many may do so.
const ONE_IN: usize = 4;
/// How long a target would work on such a request.
const WORK_MS: u64 = 2_000;
/// When a target breaks off, for every other request.
const BREAK_MS: u64 = 900;
/// A client departs after at least so long, and after less than so much more.
const STAY_MIN_MS: u64 = 20;
const STAY_SPREAD_MS: u64 = 400;
/// Starts the id of each of these clients' requests.
pub const ID_PREFIX: &str = "leaver-";

/// One client that departed.
#[derive(Clone, Debug)]
pub struct Departure {
    /// The `X-Id` of its request.
    pub id: String,
    /// When it departed, on the wall clock, as targets record their work.
    pub at_ms: u64,
}

/// What a target recorded of one such request.
#[derive(Clone, Debug)]
pub struct TargetWork {
    /// The request's `X-Id`.
    pub id: String,
    /// When the work started, on the wall clock.
    pub started_ms: u64,
    /// When it ended; `None` while it lasts.
    pub ended_ms: Option<u64>,
}

/// What became of the requests of departed clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Clients that departed.
    pub departed: usize,
    /// Works that were in flight when the client departed.
    pub in_flight: usize,
    /// Of those, the ones that lasted beyond the grace.
    pub overran: usize,
    /// Works that started later than that.
    pub started_late: usize,
}

/// Sends so many lookups a second whose clients depart, one in three with a reset.
pub fn start(
    per_s: f64,
    nodes: &Arc<Nodes>,
    load_ended: &Arc<AtomicBool>,
) -> JoinHandle<Vec<Departure>> {
    let (nodes, load_ended) = (nodes.clone(), load_ended.clone());
    thread::spawn(move || {
        let mut clients = Vec::new();
        let mut due = Instant::now();
        let mut number = 0;
        while per_s > 0.0 && !load_ended.load(Relaxed) {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            due += Duration::from_secs_f64(1.0 / per_s);
            number += 1;
            let nodes = nodes.clone();
            clients.push(thread::spawn(move || run_client(&nodes, number)));
        }
        clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect()
    })
}

/// Sends one lookup, waits a while, and closes; `None` if the lookup couldn't be sent.
fn run_client(nodes: &Nodes, number: u64) -> Option<Departure> {
    let seed = mix(number);
    let id = format!("{ID_PREFIX}{number}");
    let mut stream = TcpStream::connect(nodes.pick(seed)?).ok()?;
    let breaks = if number.is_multiple_of(2) {
        format!("X-Break-Ms: {BREAK_MS}\r\n")
    } else {
        String::new()
    };
    let head = format!(
        "GET /stock/{id} HTTP/1.1\r\nHost: h\r\nX-Id: {id}\r\nX-Work-Ms: {WORK_MS}\r\n{breaks}\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    thread::sleep(Duration::from_millis(STAY_MIN_MS + seed % STAY_SPREAD_MS));
    let linger = seed.is_multiple_of(3).then_some(Duration::ZERO);
    SockRef::from(&stream).set_linger(linger).ok()?;
    drop(stream);
    Some(Departure { id, at_ms: wall_ms() })
}

/// What targets recorded of departing clients: works that started, and when they ended.
///
/// # Errors
/// When the folder or a file in it can't be read.
pub fn read_works(folder: &str) -> io::Result<Vec<TargetWork>> {
    let mut works: Vec<TargetWork> = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let text = std::fs::read_to_string(file?.path())?;
        let mut unfinished: HashMap<String, usize> = HashMap::new();
        for record in text.lines().filter_map(ExecutionRecord::parse) {
            match record {
                ExecutionRecord::Run { id, at_ms, .. } if id.starts_with(ID_PREFIX) => {
                    unfinished.insert(id.clone(), works.len());
                    works.push(TargetWork { id, started_ms: at_ms.unwrap_or(0), ended_ms: None });
                }
                ExecutionRecord::Ended { id, at_ms, .. } => {
                    if let Some(work) = unfinished.remove(&id).and_then(|at| works.get_mut(at)) {
                        work.ended_ms = at_ms;
                    }
                }
                ExecutionRecord::Run { .. } => {}
            }
        }
    }
    Ok(works)
}

/// Compares when clients departed with when targets worked for them.
pub fn summarize(departures: &[Departure], works: &[TargetWork]) -> Summary {
    let departed_ms: HashMap<&str, u64> =
        departures.iter().map(|departure| (departure.id.as_str(), departure.at_ms)).collect();
    let mut summary = Summary { departed: departures.len(), ..Summary::default() };
    for work in works {
        let Some(departed_ms) = departed_ms.get(work.id.as_str()) else { continue };
        let ended_ms = work.ended_ms.unwrap_or(u64::MAX);
        if work.started_ms > departed_ms + GRACE_MS {
            summary.started_late += 1;
        } else if ended_ms > *departed_ms {
            summary.in_flight += 1;
            summary.overran += usize::from(ended_ms > departed_ms + GRACE_MS);
        }
    }
    summary
}

/// The violations of the users' rule that no work goes on for a departed client.
pub fn check(summary: &Summary) -> Vec<String> {
    let mut violations = Vec::new();
    if summary.started_late > LATE_STARTS_ALLOWED {
        violations.push(format!(
            "{} requests reached a target over {GRACE_MS} ms after their clients had left",
            summary.started_late
        ));
    }
    if summary.overran * ONE_IN > summary.in_flight {
        violations.push(format!(
            "targets worked on for over {GRACE_MS} ms for {} of {} clients that had left",
            summary.overran, summary.in_flight
        ));
    }
    violations
}

#[cfg(test)]
mod tests;
