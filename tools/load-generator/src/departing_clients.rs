//! Clients that close their connection before their response, and the check that targets stop
//! working for them.

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

/// Time after a client's departure for which its request may still execute, in milliseconds, since
/// the close of the connection must first reach the target.
const GRACE_MS: u64 = 500;
/// Number of requests in one run that may reach a target later than `GRACE_MS` after the departure.
const LATE_STARTS_ALLOWED: usize = 3;
/// Of this many executions that are in flight at their clients' departures, one may last longer
/// than `GRACE_MS` after the departure.
const IN_FLIGHT_PER_OVERRUN: usize = 4;
/// Time for which a target works on a request whose client stays, in milliseconds.
const WORK_MS: u64 = 2_000;
/// Time after which a target aborts the work on every other request, in milliseconds.
const BREAK_MS: u64 = 900;
/// Shortest time from a request to its client's departure, in milliseconds.
const DEPARTURE_MIN_MS: u64 = 20;
/// Exclusive upper bound of the random time that is added to `DEPARTURE_MIN_MS`, in milliseconds.
const DEPARTURE_SPREAD_MS: u64 = 400;
/// Prefix of the ids of departing clients' requests.
pub const ID_PREFIX: &str = "leaver-";

/// The departure of one client.
#[derive(Clone, Debug)]
pub struct Departure {
    /// The `X-Id` of the client's request.
    pub id: String,
    /// When the client departed, in milliseconds of the wall clock, as in targets' records.
    pub at_ms: u64,
}

/// The times of one execution of a departing client's request, as its target recorded them.
#[derive(Clone, Debug)]
pub struct ExecutionTimes {
    /// The request's `X-Id`.
    pub id: String,
    /// When the execution started, in milliseconds of the wall clock.
    pub started_ms: u64,
    /// When the execution ended, in milliseconds of the wall clock; `None` if no end was recorded.
    pub ended_ms: Option<u64>,
}

/// The number of departed clients, and the numbers of their requests' executions by timing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// The number of clients that departed.
    pub departed: usize,
    /// The number of executions that were in flight at the departure, or started up to `GRACE_MS`
    /// after it.
    pub in_flight: usize,
    /// How many of the executions in flight lasted longer than `GRACE_MS` after the departure.
    pub overran: usize,
    /// The number of executions that started later than `GRACE_MS` after the departure.
    pub started_late: usize,
}

/// Starts a thread that sends this many lookups per second until the load has ended, each by a
/// client that departs, one in three with a TCP reset. The thread returns the departures.
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

/// Sends one lookup, waits for a random time, and closes the connection; `None` if the lookup could
/// not be sent.
fn run_client(nodes: &Nodes, number: u64) -> Option<Departure> {
    let seed = mix(number);
    let id = format!("{ID_PREFIX}{number}");
    let mut stream = TcpStream::connect(nodes.pick(seed)?).ok()?;
    let break_header = if number.is_multiple_of(2) {
        format!("X-Break-Ms: {BREAK_MS}\r\n")
    } else {
        String::new()
    };
    let head = format!(
        "GET /stock/{id} HTTP/1.1\r\nHost: h\r\nX-Id: {id}\r\nX-Work-Ms: {WORK_MS}\r\n{break_header}\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    thread::sleep(Duration::from_millis(DEPARTURE_MIN_MS + seed % DEPARTURE_SPREAD_MS));
    let linger = seed.is_multiple_of(3).then_some(Duration::ZERO);
    SockRef::from(&stream).set_linger(linger).ok()?;
    drop(stream);
    Some(Departure { id, at_ms: wall_ms() })
}

/// Reads the executions of departing clients' requests from every file of the targets' records.
///
/// # Errors
/// When the folder or a file in it can't be read.
pub fn read_executions(folder: &str) -> io::Result<Vec<ExecutionTimes>> {
    let mut executions: Vec<ExecutionTimes> = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let text = std::fs::read_to_string(file?.path())?;
        let mut unfinished: HashMap<String, usize> = HashMap::new();
        for record in text.lines().filter_map(ExecutionRecord::parse) {
            match record {
                ExecutionRecord::Run { id, at_ms, .. } if id.starts_with(ID_PREFIX) => {
                    unfinished.insert(id.clone(), executions.len());
                    executions.push(ExecutionTimes {
                        id,
                        started_ms: at_ms.unwrap_or(0),
                        ended_ms: None,
                    });
                }
                ExecutionRecord::Ended { id, at_ms, .. } => {
                    if let Some(execution) =
                        unfinished.remove(&id).and_then(|index| executions.get_mut(index))
                    {
                        execution.ended_ms = at_ms;
                    }
                }
                ExecutionRecord::Run { .. } => {}
            }
        }
    }
    Ok(executions)
}

/// Compares the times of departures with the times of the executions.
pub fn summarize(departures: &[Departure], executions: &[ExecutionTimes]) -> Summary {
    let departed_ms: HashMap<&str, u64> =
        departures.iter().map(|departure| (departure.id.as_str(), departure.at_ms)).collect();
    let mut summary = Summary { departed: departures.len(), ..Summary::default() };
    for execution in executions {
        let Some(departed_ms) = departed_ms.get(execution.id.as_str()) else { continue };
        let ended_ms = execution.ended_ms.unwrap_or(u64::MAX);
        if execution.started_ms > departed_ms + GRACE_MS {
            summary.started_late += 1;
        } else if ended_ms > *departed_ms {
            summary.in_flight += 1;
            summary.overran += usize::from(ended_ms > departed_ms + GRACE_MS);
        }
    }
    summary
}

/// Returns the violations of the users' rule that no target keeps working for a departed client.
pub fn check(summary: &Summary) -> Vec<String> {
    let mut violations = Vec::new();
    if summary.started_late > LATE_STARTS_ALLOWED {
        violations.push(format!(
            "{} requests reached a target over {GRACE_MS} ms after their clients had left",
            summary.started_late
        ));
    }
    if summary.overran * IN_FLIGHT_PER_OVERRUN > summary.in_flight {
        violations.push(format!(
            "targets kept working for over {GRACE_MS} ms for {} of {} clients that had left",
            summary.overran, summary.in_flight
        ));
    }
    violations
}

#[cfg(test)]
mod tests;
