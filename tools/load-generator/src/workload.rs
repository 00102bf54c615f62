//! The scheduled load: an open loop in which each item is sent at its due time, even if earlier
//! ones have not ended.

use crate::cli::Cli;
use crate::client::{ClientRequest, Kind, Outcome, new_agent};
use crate::coordination_calls::{CompletedCall, CoordinationClient, LockOwners};
use crate::nodes::Nodes;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tools_shared::mix;
use ureq::Agent;

/// Lookups per second that are sent directly to a target, past the gateway.
const DIRECT_PER_S: f64 = 10.0;
/// Maximum number of attempts of a request outside retry storms.
const MAX_ATTEMPTS: u32 = 4;
/// Pause between two attempts of a request outside retry storms.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The requests and calls of the scheduled load, with their outcomes.
#[derive(Default)]
pub struct LoadResults {
    /// The requests through the gateway.
    pub requests: Vec<ClientRequest>,
    /// The coordination calls.
    pub calls: Vec<CompletedCall>,
    /// The lookups that were sent directly to a target, past the gateway.
    pub direct: Vec<ClientRequest>,
    /// The duration of the load, in seconds.
    pub seconds: f64,
}

/// The kind of an item of the load.
#[derive(Clone, Copy)]
enum ItemKind {
    Request(Kind),
    /// A lookup that is sent directly to a target, to compare its latency with the gateway's.
    Direct,
    Call,
}

struct ScheduledItem {
    /// When the item is due, in seconds from the start of the load.
    due_s: f64,
    kind: ItemKind,
}

/// The items of the load in the order of their due times. Each worker takes the next one.
struct Schedule {
    items: Vec<ScheduledItem>,
    /// The number of calls of `take` so far, which is the index of the next item.
    next: AtomicU64,
}

impl Schedule {
    fn new(cli: &Cli) -> Schedule {
        let rates = [
            (cli.lookups, ItemKind::Request(Kind::Lookup)),
            (cli.postings, ItemKind::Request(Kind::Posting)),
            (cli.uploads, ItemKind::Request(Kind::Upload)),
            (cli.calls, ItemKind::Call),
            (if cli.direct.is_some() { DIRECT_PER_S } else { 0.0 }, ItemKind::Direct),
        ];
        let mut items = Vec::new();
        for (stream, (rate, kind)) in rates.into_iter().enumerate() {
            let count = (rate * cli.seconds as f64) as u64;
            for index in 0..count {
                let jitter =
                    (mix(cli.seed ^ (index << 3) ^ stream as u64) % 1_000) as f64 / 1_000.0;
                items.push(ScheduledItem { due_s: (index as f64 + jitter) / rate, kind });
            }
        }
        items.sort_by(|a, b| a.due_s.total_cmp(&b.due_s));
        Schedule { items, next: AtomicU64::new(0) }
    }

    /// Returns the next item and its number; `None` if all items were taken.
    fn take(&self) -> Option<(u64, &ScheduledItem)> {
        let number = self.next.fetch_add(1, Relaxed);
        self.items.get(number as usize).map(|item| (number, item))
    }
}

/// Sends the load with the command line's number of workers; returns the results after its end.
pub fn run(cli: &Arc<Cli>, nodes: &Arc<Nodes>) -> LoadResults {
    let schedule = Arc::new(Schedule::new(cli));
    let results = Arc::new(Mutex::new(LoadResults::default()));
    let lock_owners = Arc::new(LockOwners::default());
    let start = Instant::now();
    let workers: Vec<_> = (0..cli.workers)
        .map(|_| {
            let (cli, nodes, schedule) = (cli.clone(), nodes.clone(), schedule.clone());
            let (results, lock_owners) = (results.clone(), lock_owners.clone());
            thread::spawn(move || {
                let agent = new_agent();
                let worker =
                    Worker { cli: &cli, nodes: &nodes, agent: &agent, lock_owners: &lock_owners };
                let mut worker_results = worker.run(&schedule, start);
                if let Ok(mut all) = results.lock() {
                    all.requests.append(&mut worker_results.requests);
                    all.calls.append(&mut worker_results.calls);
                    all.direct.append(&mut worker_results.direct);
                }
            })
        })
        .collect();
    for worker in workers {
        let _ = worker.join();
    }
    let mut all = results.lock().map(|mut all| std::mem::take(&mut *all)).unwrap_or_default();
    all.seconds = start.elapsed().as_secs_f64();
    all
}

/// One thread that sends the load.
struct Worker<'a> {
    cli: &'a Cli,
    nodes: &'a Nodes,
    agent: &'a Agent,
    lock_owners: &'a LockOwners,
}

impl Worker<'_> {
    fn run(&self, schedule: &Schedule, start: Instant) -> LoadResults {
        let mut results = LoadResults::default();
        let coordination_client = CoordinationClient {
            nodes: self.nodes,
            agent: self.agent,
            lock_owners: self.lock_owners,
        };
        while let Some((number, item)) = schedule.take() {
            let due = Duration::from_secs_f64(item.due_s);
            thread::sleep(due.saturating_sub(start.elapsed()));
            let seed = mix(self.cli.seed ^ (number << 8));
            match item.kind {
                ItemKind::Request(kind) => results.requests.push(self.request(kind, number, seed)),
                ItemKind::Direct => results.direct.extend(self.direct(number)),
                ItemKind::Call => results.calls.extend(coordination_client.call(seed)),
            }
        }
        results
    }

    /// Sends a lookup directly to a target, with the same HTTP client as for the gateway.
    fn direct(&self, number: u64) -> Option<ClientRequest> {
        let address = self.cli.direct.as_deref()?;
        let id = format!("{:x}-direct-{number}", self.cli.seed);
        let mut request = ClientRequest::lookup(id, number);
        let start = Instant::now();
        request.attempt(self.agent, address, &[]);
        request.took_ms = start.elapsed().as_secs_f64() * 1_000.0;
        Some(request)
    }

    /// Sends a request through the gateway, with all its attempts.
    fn request(&self, kind: Kind, number: u64, seed: u64) -> ClientRequest {
        let id = format!("{:x}-{number}", self.cli.seed);
        let (mut request, body) = self.new_request(kind, id, seed);
        let is_keyed = kind != Kind::Lookup && seed & 1 == 0;
        request.key = is_keyed.then(|| request.id.clone());
        let start = Instant::now();
        let storm = self.cli.storm > 0;
        let max_attempts = if storm { self.cli.storm } else { MAX_ATTEMPTS };
        for attempt_number in 0..max_attempts {
            match self.nodes.pick(seed.wrapping_add(u64::from(attempt_number))) {
                Some(node) => request.attempt(self.agent, node, &body),
                None => request.outcomes.push(Outcome::Unreached),
            }
            if attempt_number == 0 {
                request.took_ms = start.elapsed().as_secs_f64() * 1_000.0;
            }
            let is_retried = match request.outcomes.last() {
                Some(Outcome::Ran) => false,
                Some(Outcome::NotRun) => storm && kind == Kind::Lookup,
                Some(Outcome::Unreached) => true,
                _ => is_keyed || kind == Kind::Lookup && storm,
            };
            if !is_retried {
                break;
            }
            if !storm {
                thread::sleep(RETRY_PAUSE);
            }
        }
        request
    }

    /// Returns a request of this kind that was not sent yet, and its body.
    fn new_request(&self, kind: Kind, id: String, seed: u64) -> (ClientRequest, Vec<u8>) {
        let (method, target, body) = match kind {
            Kind::Lookup => return (ClientRequest::lookup(id, seed), Vec::new()),
            Kind::Posting => {
                let body = format!("{{\"id\":\"{id}\",\"amount\":{}}}", seed % 1_000);
                ("POST", "/transfers".to_string(), body.into_bytes())
            }
            Kind::Upload => {
                let body = (0..self.cli.upload_bytes)
                    .map(|byte| (mix(byte as u64 / 64) ^ seed) as u8)
                    .collect();
                ("PUT", format!("/photos/{id}"), body)
            }
        };
        (ClientRequest::new(id, kind, method, target, &body), body)
    }
}
