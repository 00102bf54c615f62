//! Coordination calls on numbers, locks and keys, each recorded as its client observed it.

use crate::nodes::Nodes;
use std::collections::HashMap;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};
use tools_shared::mix;
use ureq::Agent;

/// The instant from which the times of calls are measured: the first use of this clock.
static START: LazyLock<Instant> = LazyLock::new(Instant::now);
/// Number of resources of each kind (number sequences, locks, keys) that the clients contend for.
const RESOURCES_PER_KIND: u64 = 4;
/// Time to live of a lock that is not released, in milliseconds.
const TTL_MS: u64 = 3_000;
/// Margin before a lock's expiry from which its owner no longer relies on it, in milliseconds.
const TTL_MARGIN_MS: u64 = 500;
/// Time between the grant and the release of a lock.
const LOCKED_TIME: Duration = Duration::from_millis(15);
/// The value in `LockOwners` for a lock without an owner.
const NO_OWNER: u64 = 0;

/// Returns the milliseconds since `START`.
fn now_ms() -> f64 {
    START.elapsed().as_secs_f64() * 1_000.0
}

/// The result that a call returned to its client.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// The next number of a sequence.
    Number(u64),
    /// A put that replaced one revision of a key and created another.
    Put {
        /// The revision that the put replaced; 0 if the key was absent.
        base: u64,
        /// The revision that the put created.
        revision: u64,
    },
    /// A read of a key.
    Read {
        /// The revision of the key; 0 if the key is absent.
        revision: u64,
    },
    /// A lock that was granted to the client.
    Locked {
        /// The fencing token of the grant.
        fence: u64,
    },
    /// A lock that was granted to two clients at overlapping times.
    Overlap,
    /// No response, an error, or a refusal.
    Nothing,
}

/// One call that has ended. Its times are in milliseconds since `START`.
#[derive(Clone, Debug)]
pub struct CompletedCall {
    /// The path of the resource, for example `numbers/n0`.
    pub name: String,
    /// When the call started.
    pub start_ms: f64,
    /// When the call ended.
    pub end_ms: f64,
    /// Whether the client got a usable answer: the value itself for a number or a read, any
    /// response for a lock or a put.
    pub answered: bool,
    /// The result that the client got.
    pub result: CallResult,
}

impl CompletedCall {
    /// Returns the duration of the call, in milliseconds.
    pub fn took_ms(&self) -> f64 {
        self.end_ms - self.start_ms
    }
}

/// Whether one call was answered, and its result; both as in `CompletedCall`.
struct CallOutcome {
    answered: bool,
    result: CallResult,
}

impl CallOutcome {
    /// Returns the outcome of an answered call with this result; if there is none, the outcome of a
    /// call without a usable answer.
    fn new(result: Option<CallResult>) -> CallOutcome {
        CallOutcome { answered: result.is_some(), result: result.unwrap_or(CallResult::Nothing) }
    }
}

/// The owner of each lock, as the clients of this process know it. An owner is identified by the
/// seed of its call.
#[derive(Default)]
pub struct LockOwners {
    owners: [AtomicU64; RESOURCES_PER_KIND as usize],
}

/// A response whose body is a flat JSON object, with the object's fields.
struct Response {
    status: u16,
    fields: HashMap<String, String>,
}

impl Response {
    /// Returns a numeric field of a success; `None` for other statuses or without such a field.
    fn number(&self, field: &str) -> Option<u64> {
        (self.status == 200).then(|| self.fields.get(field)?.parse().ok())?
    }

    /// Returns the revision of a key, 0 if the key is absent; `None` for other responses.
    fn revision(&self) -> Option<u64> {
        self.number("revision").or((self.status == 404).then_some(0))
    }
}

/// The coordination client of one thread.
pub struct CoordinationClient<'a> {
    /// The nodes to which calls are sent.
    pub nodes: &'a Nodes,
    /// The HTTP client that sends calls.
    pub agent: &'a Agent,
    /// The owners of the locks, shared by all clients.
    pub lock_owners: &'a LockOwners,
}

impl CoordinationClient<'_> {
    /// Makes one call, whose kind and resource the seed decides; `None` while no node is ready.
    pub fn call(&self, seed: u64) -> Option<CompletedCall> {
        let node = self.nodes.pick(seed)?;
        let index = (mix(seed) % RESOURCES_PER_KIND) as usize;
        let key = format!("{seed:x}");
        let start_ms = now_ms();
        let (name, CallOutcome { answered, result }) = match seed % 4 {
            0 => {
                let name = format!("numbers/n{index}");
                let response = self.send(node, "POST", &name, "", &key);
                let number = response.and_then(|response| response.number("number"));
                (name, CallOutcome::new(number.map(CallResult::Number)))
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
                (name, CallOutcome::new(revision.map(|revision| CallResult::Read { revision })))
            }
            _ => {
                let name = format!("keys/k{index}");
                let outcome = self.put(node, &name, seed);
                (name, outcome)
            }
        };
        Some(CompletedCall { name, start_ms, end_ms: now_ms(), answered, result })
    }

    /// Sends one request to a node; `None` if no complete response arrived.
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

    /// Reads a key and puts a value that replaces the revision just read.
    fn put(&self, node: &str, name: &str, seed: u64) -> CallOutcome {
        let found = self.send(node, "GET", name, "", "");
        let Some(base) = found.and_then(|response| response.revision()) else {
            return CallOutcome::new(None);
        };
        let body = format!("{{\"value\":\"{seed:x}\",\"revision\":{base}}}");
        let put = self.send(node, "PUT", name, &body, &format!("{seed:x}"));
        let revision = put.as_ref().and_then(|response| response.number("revision"));
        let result =
            revision.map_or(CallResult::Nothing, |revision| CallResult::Put { base, revision });
        CallOutcome { answered: put.is_some(), result }
    }

    /// Acquires a lock, keeps it for `LOCKED_TIME`, and releases it.
    fn lock(&self, name: &str, index: usize, seed: u64) -> CallOutcome {
        let Some(node) = self.nodes.pick(seed) else { return CallOutcome::new(None) };
        let sent_at = Instant::now();
        let body = format!("{{\"holder\":\"{seed:x}\",\"ttlMs\":{TTL_MS}}}");
        let response = self.send(node, "POST", name, &body, &format!("{seed:x}"));
        let Some(fence) = response.as_ref().and_then(|response| response.number("fence")) else {
            return CallOutcome { answered: response.is_some(), result: CallResult::Nothing };
        };
        let valid_time = Duration::from_millis(TTL_MS - TTL_MARGIN_MS);
        let owner = &self.lock_owners.owners[index];
        let mut result = CallResult::Locked { fence };
        if sent_at.elapsed() < valid_time {
            if owner.swap(seed, SeqCst) != NO_OWNER {
                result = CallResult::Overlap;
            }
            std::thread::sleep(LOCKED_TIME);
            let is_valid = sent_at.elapsed() < valid_time;
            let is_owner = owner.compare_exchange(seed, NO_OWNER, SeqCst, SeqCst).is_ok();
            if is_valid && !is_owner {
                result = CallResult::Overlap;
            }
        }
        let body = format!("{{\"holder\":\"{seed:x}\",\"fence\":{fence}}}");
        let _ = self.send(node, "DELETE", name, &body, &format!("{seed:x}f"));
        CallOutcome { answered: true, result }
    }
}
