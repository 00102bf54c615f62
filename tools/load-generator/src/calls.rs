use crate::nodes::Nodes;
use crate::schedule::mix;
use std::collections::HashMap;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};
use ureq::Agent;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);
const NAMES: u64 = 4;
const TTL_MS: u64 = 3_000;

pub fn now_ms() -> f64 {
    START.elapsed().as_secs_f64() * 1_000.0
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    Number(u64),
    /// A put that found this revision and left that one.
    Put {
        found: u64,
        left: u64,
    },
    Read {
        revision: u64,
    },
    Locked {
        fence: u64,
    },
    Overlap,
    Nothing,
}

/// One call as the client saw it.
#[derive(Clone, Debug)]
pub struct Done {
    pub name: String,
    pub start_ms: f64,
    pub end_ms: f64,
    pub sound: bool,
    pub what: What,
}

impl Done {
    pub fn took_ms(&self) -> f64 {
        self.end_ms - self.start_ms
    }
}

/// Who holds each lock in the eyes of this process: 0 is nobody.
#[derive(Default)]
pub struct Shared {
    holders: [AtomicU64; NAMES as usize],
}

type Told = Option<(u16, HashMap<String, String>)>;

fn call(agent: &Agent, node: &str, method: &str, path: &str, body: &str, key: &str) -> Told {
    let request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{node}/coordination/{path}"))
        .header("idempotency-key", key);
    let sent = match body.is_empty() {
        true => agent.run(request.body(()).ok()?),
        false => agent.run(request.body(body.as_bytes()).ok()?),
    };
    let mut response = sent.ok()?;
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string().ok()?;
    let fields = text.trim_matches(['{', '}']).split(',').filter_map(|pair| {
        let (name, value) = pair.split_once(':')?;
        Some((name.trim_matches('"').to_string(), value.trim_matches('"').to_string()))
    });
    Some((status, fields.collect()))
}

fn number(told: &Told, field: &str) -> Option<u64> {
    told.as_ref().filter(|(status, _)| *status == 200)?.1.get(field)?.parse().ok()
}

pub fn one(nodes: &Nodes, agent: &Agent, shared: &Shared, seed: u64, done: &mut Vec<Done>) {
    let Some(node) = nodes.pick(seed) else { return };
    let at = (mix(seed) % NAMES) as usize;
    let key = format!("{seed:x}");
    let start_ms = now_ms();
    let (name, sound, what) = match seed % 4 {
        0 => {
            let name = format!("numbers/n{at}");
            let told = call(agent, node, "POST", &name, "", &key);
            let value = number(&told, "number");
            (name, value.is_some(), value.map_or(What::Nothing, What::Number))
        }
        1 => {
            let name = format!("locks/l{at}");
            let (sound, what) = lock(nodes, agent, shared, &name, at, seed);
            (name, sound, what)
        }
        2 => {
            let name = format!("keys/k{at}");
            let told = call(agent, node, "GET", &name, "", &key);
            let absent = told.as_ref().is_some_and(|(status, _)| *status == 404);
            let revision = number(&told, "revision").or(absent.then_some(0));
            (
                name,
                revision.is_some(),
                revision.map_or(What::Nothing, |revision| What::Read { revision }),
            )
        }
        _ => {
            let name = format!("keys/k{at}");
            let told = call(agent, node, "GET", &name, "", "");
            let absent = told.as_ref().is_some_and(|(status, _)| *status == 404);
            let found = number(&told, "revision").or(absent.then_some(0));
            let put = found.map(|found| {
                let body = format!("{{\"value\":\"{seed:x}\",\"revision\":{found}}}");
                call(agent, node, "PUT", &name, &body, &key)
            });
            let left = put.as_ref().and_then(|told| number(told, "revision"));
            let what = match (found, left) {
                (Some(found), Some(left)) => What::Put { found, left },
                _ => What::Nothing,
            };
            (name, put.flatten().is_some(), what)
        }
    };
    done.push(Done { name, start_ms, end_ms: now_ms(), sound, what });
}

fn lock(
    nodes: &Nodes,
    agent: &Agent,
    shared: &Shared,
    name: &str,
    at: usize,
    seed: u64,
) -> (bool, What) {
    let Some(node) = nodes.pick(seed) else { return (false, What::Nothing) };
    let asked = Instant::now();
    let body = format!("{{\"holder\":\"{seed:x}\",\"ttlMs\":{TTL_MS}}}");
    let told = call(agent, node, "POST", name, &body, &format!("{seed:x}"));
    let Some(fence) = number(&told, "fence") else { return (told.is_some(), What::Nothing) };
    let safe = Duration::from_millis(TTL_MS - 500);
    let mut what = What::Locked { fence };
    if asked.elapsed() < safe {
        if shared.holders[at].swap(seed, SeqCst) != 0 {
            what = What::Overlap;
        }
        std::thread::sleep(Duration::from_millis(15));
        if asked.elapsed() < safe {
            if shared.holders[at].compare_exchange(seed, 0, SeqCst, SeqCst).is_err() {
                what = What::Overlap;
            }
        } else {
            let _ = shared.holders[at].compare_exchange(seed, 0, SeqCst, SeqCst);
        }
    }
    let body = format!("{{\"holder\":\"{seed:x}\",\"fence\":{fence}}}");
    let _ = call(agent, node, "DELETE", name, &body, &format!("{seed:x}f"));
    (true, what)
}

/// Locks never overlap, fences and numbers only rise, no read is older than an acknowledged write,
/// and no two puts leave from the same revision.
pub fn check(calls: &[Done]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut by_name: HashMap<&str, Vec<&Done>> = HashMap::new();
    for done in calls {
        by_name.entry(&done.name).or_default().push(done);
    }
    for (name, list) in by_name {
        rises(name, &list, &mut violations);
        let mut left: HashMap<u64, usize> = HashMap::new();
        for done in &list {
            match done.what {
                What::Put { found, .. } => *left.entry(found).or_default() += 1,
                What::Overlap => violations.push(format!("{name}: two held the lock at once")),
                _ => {}
            }
        }
        for (found, count) in left.into_iter().filter(|(_, count)| *count > 1) {
            violations.push(format!("{name}: {count} puts left from revision {found}"));
        }
    }
    violations
}

/// What a call saw is not below what an earlier one, ended before it began, saw or left; and what
/// a write made is above.
fn rises(name: &str, list: &[&Done], violations: &mut Vec<String>) {
    let seen = |done: &Done| match done.what {
        What::Number(value) => Some((value, true)),
        What::Locked { fence } => Some((fence, true)),
        What::Put { left, .. } => Some((left, true)),
        What::Read { revision } => Some((revision, false)),
        _ => None,
    };
    let mut starts: Vec<&Done> = list.iter().copied().filter(|done| seen(done).is_some()).collect();
    let mut ends = starts.clone();
    starts.sort_by(|a, b| a.start_ms.total_cmp(&b.start_ms));
    ends.sort_by(|a, b| a.end_ms.total_cmp(&b.end_ms));
    let (mut highest, mut at) = (0, 0);
    for done in starts {
        while at < ends.len() && ends[at].end_ms < done.start_ms {
            highest = highest.max(seen(ends[at]).map_or(0, |(value, _)| value));
            at += 1;
        }
        let Some((value, strict)) = seen(done) else { continue };
        if value < highest || (strict && value == highest) {
            violations.push(format!("{name}: {value} after {highest} was told"));
        }
    }
}

#[cfg(test)]
mod tests;
