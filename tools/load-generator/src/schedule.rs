use crate::Cli;
use crate::calls::{self, Done};
use crate::client::{Ask, Kind, Told, agent, go, hex};
use crate::nodes::Nodes;
use sha2::{Digest, Sha256};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use ureq::Agent;

#[derive(Default)]
pub struct Asked {
    pub asks: Vec<Ask>,
    pub calls: Vec<Done>,
    pub direct: Vec<Ask>,
    pub seconds: f64,
}

#[derive(Clone, Copy)]
enum Work {
    Ask(Kind),
    /// A lookup past the gateway, to compare.
    Direct,
    Call,
}

const DIRECT_PER_S: f64 = 10.0;

/// An open loop: each ask is due at its time, whether or not earlier ones have ended.
struct Plan {
    due: Vec<(f64, Work)>,
    next: AtomicU64,
}

pub fn mix(seed: u64) -> u64 {
    let mut mixed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn plan(cli: &Cli) -> Plan {
    let rates = [
        (cli.lookups, Work::Ask(Kind::Lookup)),
        (cli.postings, Work::Ask(Kind::Posting)),
        (cli.uploads, Work::Ask(Kind::Upload)),
        (cli.calls, Work::Call),
        (if cli.direct.is_some() { DIRECT_PER_S } else { 0.0 }, Work::Direct),
    ];
    let mut due = Vec::new();
    for (at, (rate, work)) in rates.into_iter().enumerate() {
        let count = (rate * cli.seconds as f64) as u64;
        for index in 0..count {
            let jitter = (mix(cli.seed ^ (index << 3) ^ at as u64) % 1_000) as f64 / 1_000.0;
            due.push(((index as f64 + jitter) / rate, work));
        }
    }
    due.sort_by(|a, b| a.0.total_cmp(&b.0));
    Plan { due, next: AtomicU64::new(0) }
}

pub fn run(cli: &Arc<Cli>, nodes: &Arc<Nodes>) -> Asked {
    let plan = Arc::new(plan(cli));
    let asked = Arc::new(Mutex::new(Asked::default()));
    let shared = Arc::new(calls::Shared::default());
    let start = Instant::now();
    let workers: Vec<_> = (0..cli.workers)
        .map(|_| {
            let (cli, nodes, plan) = (cli.clone(), nodes.clone(), plan.clone());
            let (asked, shared) = (asked.clone(), shared.clone());
            thread::spawn(move || {
                let mut own = Asked::default();
                let agent = agent();
                loop {
                    let at = plan.next.fetch_add(1, Relaxed);
                    let Some((due_s, work)) = plan.due.get(at as usize) else { break };
                    let due = Duration::from_secs_f64(*due_s);
                    thread::sleep(due.saturating_sub(start.elapsed()));
                    let seed = mix(cli.seed ^ (at << 8));
                    match work {
                        Work::Ask(kind) => {
                            own.asks.push(one(&cli, &nodes, &agent, *kind, at, seed));
                        }
                        Work::Direct => own.direct.extend(direct(&cli, &agent, at)),
                        Work::Call => calls::one(&nodes, &agent, &shared, seed, &mut own.calls),
                    }
                }
                if let Ok(mut all) = asked.lock() {
                    all.asks.append(&mut own.asks);
                    all.calls.append(&mut own.calls);
                    all.direct.append(&mut own.direct);
                }
            })
        })
        .collect();
    for worker in workers {
        let _ = worker.join();
    }
    let mut all = asked.lock().map(|mut all| std::mem::take(&mut *all)).unwrap_or_default();
    all.seconds = start.elapsed().as_secs_f64();
    all
}

/// The same lookup, sent straight to a target by the same client.
fn direct(cli: &Cli, agent: &Agent, at: u64) -> Option<Ask> {
    let address = cli.direct.as_deref()?;
    let id = format!("{:x}-direct-{at}", cli.seed);
    let mut ask = Ask::lookup(id, at);
    let start = Instant::now();
    go(agent, address, &mut ask, &[]);
    ask.took_ms = start.elapsed().as_secs_f64() * 1_000.0;
    Some(ask)
}

fn one(cli: &Cli, nodes: &Nodes, agent: &Agent, kind: Kind, at: u64, seed: u64) -> Ask {
    let id = format!("{:x}-{at}", cli.seed);
    let body = match kind {
        Kind::Lookup => Vec::new(),
        Kind::Posting => format!("{{\"id\":\"{id}\",\"amount\":{}}}", seed % 1_000).into_bytes(),
        Kind::Upload => {
            (0..cli.upload_bytes).map(|byte| (mix(byte as u64 / 64) ^ seed) as u8).collect()
        }
    };
    let (method, target) = match kind {
        Kind::Lookup => ("GET", format!("/stock/{id}?q=%20{}", seed % 97)),
        Kind::Posting => ("POST", "/transfers".to_string()),
        Kind::Upload => ("PUT", format!("/photos/{id}")),
    };
    let keyed = kind != Kind::Lookup && seed & 1 == 0;
    let mut ask = Ask {
        key: keyed.then(|| id.clone()),
        id,
        kind,
        method,
        target,
        digest: hex(&Sha256::digest(&body)),
        told: Vec::new(),
        status: 0,
        took_ms: 0.0,
        wrong: None,
        retry_after: false,
    };
    let start = Instant::now();
    let most = if cli.storm > 0 { cli.storm } else { 4 };
    for turn in 0..most {
        match nodes.pick(seed.wrapping_add(u64::from(turn))) {
            Some(node) => go(agent, node, &mut ask, &body),
            None => ask.told.push(Told::Unreached),
        }
        if turn == 0 {
            ask.took_ms = start.elapsed().as_secs_f64() * 1_000.0;
        }
        let again = match ask.told.last() {
            Some(Told::Ran) => false,
            Some(Told::NotRun) => cli.storm > 0 && kind == Kind::Lookup,
            Some(Told::Unreached) => true,
            _ => keyed || kind == Kind::Lookup && cli.storm > 0,
        };
        if !again {
            break;
        }
        if cli.storm == 0 {
            thread::sleep(Duration::from_millis(300));
        }
    }
    ask
}
