//! Clients that leave before their answer, and the check that nothing goes on for them.

use crate::nodes::Nodes;
use crate::schedule::mix;
use socket2::SockRef;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Work for a client that left may go on for so long: the close has to reach the target.
const GRACE_MS: u64 = 500;
/// Requests that may reach a target later than that: a few, over a whole run.
const LATE_STARTS_ALLOWED: usize = 3;
/// Of works that would have lasted longer, at most one in so many may do so.
const ONE_IN: usize = 4;
/// How long a target would work on such a request.
const WORK_MS: u64 = 2_000;
/// When a target breaks, for every other request.
const BREAK_MS: u64 = 900;
/// A client leaves after so long at the least, and so much more at the most.
const STAY_LEAST_MS: u64 = 20;
const STAY_SPREAD_MS: u64 = 400;
/// Leads the names of these clients' requests.
pub const PREFIX: &str = "leaver-";

/// One client that left.
#[derive(Clone, Debug)]
pub struct Left {
    pub id: String,
    /// On the wall clock, as targets record it.
    pub at_ms: u64,
}

/// What a target recorded of one such request.
#[derive(Clone, Debug)]
pub struct Worked {
    pub id: String,
    pub began_ms: u64,
    /// When its work ended; none while it lasts.
    pub ended_ms: Option<u64>,
}

/// What became of requests whose clients left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    pub left: usize,
    /// Works that were under way when the client left.
    pub at_work: usize,
    /// Of those, the ones that went on for longer than the grace.
    pub worked_on: usize,
    /// Works that began later than that.
    pub began_late: usize,
}

/// Sends so many lookups a second whose clients leave, every other with a reset.
pub fn start(per_s: f64, nodes: &Arc<Nodes>, ended: &Arc<AtomicBool>) -> JoinHandle<Vec<Left>> {
    let (nodes, ended) = (nodes.clone(), ended.clone());
    thread::spawn(move || {
        let mut clients = Vec::new();
        let mut due = Instant::now();
        let mut number = 0;
        while per_s > 0.0 && !ended.load(Relaxed) {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            due += Duration::from_secs_f64(1.0 / per_s);
            number += 1;
            let nodes = nodes.clone();
            clients.push(thread::spawn(move || one(&nodes, number)));
        }
        clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect()
    })
}

/// One client: sends its lookup, stays a while, and leaves.
fn one(nodes: &Nodes, number: u64) -> Option<Left> {
    let seed = mix(number);
    let id = format!("{PREFIX}{number}");
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
    thread::sleep(Duration::from_millis(STAY_LEAST_MS + seed % STAY_SPREAD_MS));
    leave(&stream, seed.is_multiple_of(3)).ok()?;
    drop(stream);
    Some(Left { id, at_ms: wall_ms() })
}

fn leave(stream: &TcpStream, with_reset: bool) -> io::Result<()> {
    let linger = with_reset.then_some(Duration::ZERO);
    SockRef::from(stream).set_linger(linger)
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// What targets recorded of leavers: works that began, and how they ended.
pub fn read_works(folder: &str) -> io::Result<Vec<Worked>> {
    let mut works: Vec<Worked> = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let text = std::fs::read_to_string(file?.path())?;
        let mut open: HashMap<String, usize> = HashMap::new();
        for line in text.lines() {
            let parts: Vec<&str> = line.split(' ').collect();
            match parts[..] {
                [id, _, _, _, _, at_ms] if id.starts_with(PREFIX) => {
                    open.insert(id.into(), works.len());
                    let began_ms = at_ms.parse().unwrap_or(0);
                    works.push(Worked { id: id.into(), began_ms, ended_ms: None });
                }
                ["ended", id, _how, at_ms] => {
                    if let Some(work) = open.remove(id).and_then(|at| works.get_mut(at)) {
                        work.ended_ms = at_ms.parse().ok();
                    }
                }
                _ => {}
            }
        }
    }
    Ok(works)
}

/// Compares when clients left with when targets worked for them.
pub fn summarize(left: &[Left], works: &[Worked]) -> Summary {
    let left_ms: HashMap<&str, u64> =
        left.iter().map(|left| (left.id.as_str(), left.at_ms)).collect();
    let mut summary = Summary { left: left.len(), ..Summary::default() };
    for work in works {
        let Some(left_ms) = left_ms.get(work.id.as_str()) else { continue };
        let ended_ms = work.ended_ms.unwrap_or(u64::MAX);
        if work.began_ms > left_ms + GRACE_MS {
            summary.began_late += 1;
        } else if ended_ms > *left_ms {
            summary.at_work += 1;
            summary.worked_on += usize::from(ended_ms > left_ms + GRACE_MS);
        }
    }
    summary
}

/// What the users' rule says of it.
pub fn check(summary: &Summary) -> Vec<String> {
    let mut violations = Vec::new();
    if summary.began_late > LATE_STARTS_ALLOWED {
        violations.push(format!(
            "{} requests reached a target over {GRACE_MS} ms after their clients had left",
            summary.began_late
        ));
    }
    if summary.worked_on * ONE_IN > summary.at_work {
        violations.push(format!(
            "targets worked on for over {GRACE_MS} ms for {} of {} clients that had left",
            summary.worked_on, summary.at_work
        ));
    }
    violations
}

#[cfg(test)]
mod tests;
