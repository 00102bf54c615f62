//! Coordination calls: numbers, locks and keys, each recorded as its client observed it.

use crate::nodes::Nodes;
use std::collections::HashMap;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};
use tools_shared::mix;
use ureq::Agent;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);
/// How many names of each sort the clients contend for.
const NAMES: u64 = 4;
/// How long a lock lasts that nobody releases.
const TTL_MS: u64 = 3_000;
/// Before its end by this much, an owner counts on its lock no more.
const TTL_MARGIN_MS: u64 = 500;
/// How long an owner keeps a lock.
const LOCKED_TIME: Duration = Duration::from_millis(15);
/// What stands in `LockOwners` while nobody owns a lock.
const NOBODY: u64 = 0;

fn now_ms() -> f64 {
    START.elapsed().as_secs_f64() * 1_000.0
}

/// What a call's client got.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// The next of a row of numbers.
    Number(u64),
    /// A put based on one revision, which made another.
    Put {
        /// The revision that the put replaced.
        base: u64,
        /// The revision that it made.
        revision: u64,
    },
    /// A read of a key at this revision; 0 if the key is absent.
    Read {
        /// The key's revision.
        revision: u64,
    },
    /// A lock granted with this fencing token.
    Locked {
        /// The fencing token.
        fence: u64,
    },
    /// A lock granted while another client still owned it.
    Overlap,
    /// Neither of these.
    Nothing,
}

/// One call from its start to its end, by the load generator's clock.
#[derive(Clone, Debug)]
pub struct CompletedCall {
    /// The resource's path.
    pub name: String,
    /// When the call started.
    pub start_ms: f64,
    /// When it ended.
    pub end_ms: f64,
    /// Whether the gateway answered it.
    pub answered: bool,
    /// What the client got.
    pub result: CallResult,
}

impl CompletedCall {
    /// How long the call took.
    pub fn took_ms(&self) -> f64 {
        self.end_ms - self.start_ms
    }
}

/// How one call went.
struct CallOutcome {
    answered: bool,
    result: CallResult,
}

impl CallOutcome {
    /// An answered call with this result; without one, a call that got no usable answer.
    fn of(result: Option<CallResult>) -> CallOutcome {
        CallOutcome { answered: result.is_some(), result: result.unwrap_or(CallResult::Nothing) }
    }
}

/// The owner of each lock as the clients of this process know it, by the seed of its call.
#[derive(Default)]
pub struct LockOwners {
    owners: [AtomicU64; NAMES as usize],
}

/// A response with the fields of its flat JSON object.
struct Response {
    status: u16,
    fields: HashMap<String, String>,
}

impl Response {
    /// A field of a success that is a number.
    fn number(&self, field: &str) -> Option<u64> {
        (self.status == 200).then(|| self.fields.get(field)?.parse().ok())?
    }

    /// A key's revision; 0 if it is absent.
    fn revision(&self) -> Option<u64> {
        self.number("revision").or((self.status == 404).then_some(0))
    }
}

/// The client of one thread.
pub struct Caller<'a> {
    /// Where calls are sent.
    pub nodes: &'a Nodes,
    /// Sends them.
    pub agent: &'a Agent,
    /// Shared by all clients.
    pub lock_owners: &'a LockOwners,
}

impl Caller<'_> {
    /// One call that the seed decides; `None` while no node is ready.
    pub fn call(&self, seed: u64) -> Option<CompletedCall> {
        let node = self.nodes.pick(seed)?;
        let index = (mix(seed) % NAMES) as usize;
        let key = format!("{seed:x}");
        let start_ms = now_ms();
        let (name, CallOutcome { answered, result }) = match seed % 4 {
            0 => {
                let name = format!("numbers/n{index}");
                let response = self.send(node, "POST", &name, "", &key);
                let number = response.and_then(|response| response.number("number"));
                (name, CallOutcome::of(number.map(CallResult::Number)))
            }
            1 => {
                let name = format!("locks/l{index}");
                let outcome = self.lock(&name, index, seed);
                (name, outcome)
            }
            2 => {
                let name = format!("keys/k{index}");
                let response = self.send(node, "GET", &name, "", &key);
                let revision = response.and_then(|response| response.revision());
                (name, CallOutcome::of(revision.map(|revision| CallResult::Read { revision })))
            }
            _ => {
                let name = format!("keys/k{index}");
                let outcome = self.put(node, &name, seed);
                (name, outcome)
            }
        };
        Some(CompletedCall { name, start_ms, end_ms: now_ms(), answered, result })
    }

    /// `None` if no response arrived.
    fn send(
        &self,
        node: &str,
        method: &str,
        path: &str,
        body: &str,
        key: &str,
    ) -> Option<Response> {
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{node}/coordination/{path}"))
            .header("idempotency-key", key);
        let sent = match body.is_empty() {
            true => self.agent.run(request.body(()).ok()?),
            false => self.agent.run(request.body(body.as_bytes()).ok()?),
        };
        let mut response = sent.ok()?;
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string().ok()?;
        let fields = text.trim_matches(['{', '}']).split(',').filter_map(|pair| {
            let (name, value) = pair.split_once(':')?;
            Some((name.trim_matches('"').to_string(), value.trim_matches('"').to_string()))
        });
        Some(Response { status, fields: fields.collect() })
    }

    /// Reads a key and replaces the revision that it found.
    fn put(&self, node: &str, name: &str, seed: u64) -> CallOutcome {
        let found = self.send(node, "GET", name, "", "");
        let Some(base) = found.and_then(|response| response.revision()) else {
            return CallOutcome::of(None);
        };
        let body = format!("{{\"value\":\"{seed:x}\",\"revision\":{base}}}");
        let put = self.send(node, "PUT", name, &body, &format!("{seed:x}"));
        let revision = put.as_ref().and_then(|response| response.number("revision"));
        let result =
            revision.map_or(CallResult::Nothing, |revision| CallResult::Put { base, revision });
        CallOutcome { answered: put.is_some(), result }
    }

    /// Takes a lock, owns it for a while, and releases it.
    fn lock(&self, name: &str, index: usize, seed: u64) -> CallOutcome {
        let Some(node) = self.nodes.pick(seed) else { return CallOutcome::of(None) };
        let sent_at = Instant::now();
        let body = format!("{{\"holder\":\"{seed:x}\",\"ttlMs\":{TTL_MS}}}");
        let response = self.send(node, "POST", name, &body, &format!("{seed:x}"));
        let Some(fence) = response.as_ref().and_then(|response| response.number("fence")) else {
            return CallOutcome { answered: response.is_some(), result: CallResult::Nothing };
        };
        let safe = Duration::from_millis(TTL_MS - TTL_MARGIN_MS);
        let owner = &self.lock_owners.owners[index];
        let mut result = CallResult::Locked { fence };
        if sent_at.elapsed() < safe {
            if owner.swap(seed, SeqCst) != NOBODY {
                result = CallResult::Overlap;
            }
            std::thread::sleep(LOCKED_TIME);
            let is_safe = sent_at.elapsed() < safe;
            let is_own = owner.compare_exchange(seed, NOBODY, SeqCst, SeqCst).is_ok();
            if is_safe && !is_own {
                result = CallResult::Overlap;
            }
        }
        let body = format!("{{\"holder\":\"{seed:x}\",\"fence\":{fence}}}");
        let _ = self.send(node, "DELETE", name, &body, &format!("{seed:x}f"));
        CallOutcome { answered: true, result }
    }
}
