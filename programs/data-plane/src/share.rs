use crate::core::Command;
use crate::dialect::Dialect;
use crate::downstream::head::{Head, Length};
use crate::fair::Clients;
use crate::pools::Pools;
use arc_swap::ArcSwap;
use crossbeam_queue::ArrayQueue;
use postbarrow_constants::coordination::CONTROLLER_ANSWER_SLACK_MS;
use postbarrow_constants::plans::{SAMPLE_BYTES, SAMPLES_PENDING, SAMPLES_PER_REPORT};
use postbarrow_downstream::client_watch::{ClientWatch, ReceiveError};
use postbarrow_downstream::memory_budget::MemoryBudget;
use postbarrow_messages::{Request, Response};
use postbarrow_routing::Table;
use postbarrow_startup::Bounds;
use postbarrow_state::{Name, Node, Sample};
use postbarrow_transport::{RequestKeys, clock_ms, random};
use sha2::{Digest as _, Sha256};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::*};
use std::sync::mpsc::{Sender, sync_channel};

/// What the threads of requests read: swapped whole or atomic, never locked.
pub struct Shared {
    pub own: Node,
    pub dialect: Arc<dyn Dialect>,
    pub table: ArcSwap<Table>,
    pub pools: ArcSwap<Pools>,
    pub lease_until_ms: AtomicU64,
    pub stopping: AtomicBool,
    /// No new client connections.
    pub closed: AtomicBool,
    pub memory: Arc<MemoryBudget>,
    /// The same for responses.
    pub responses: Arc<MemoryBudget>,
    samples: ArrayQueue<Sample>,
    seen: AtomicU64,
    pub clients: Clients,
    pub connections: Clients,
    pub requests_at_work: AtomicUsize,
    pub calls: AtomicUsize,
    pub watches: AtomicUsize,
    pub downstreams: AtomicUsize,
    number: AtomicU64,
    /// Known to nobody else: made-up keys can't be guessed.
    secret: [u64; 2],
    question_keys: RequestKeys,
    commands: Sender<Command>,
}

impl Shared {
    pub fn new(
        own: Node,
        dialect: Arc<dyn Dialect>,
        bounds: &Bounds,
        commands: Sender<Command>,
    ) -> Self {
        let bodies = bounds.bodies_bytes();
        Shared {
            own,
            dialect,
            table: ArcSwap::from_pointee(
                Table::empty().with_retry_allowance(bounds.retry_budget()),
            ),
            pools: ArcSwap::from_pointee(Pools::default()),
            lease_until_ms: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            memory: MemoryBudget::new(bodies),
            responses: MemoryBudget::new(bodies),
            samples: ArrayQueue::new(SAMPLES_PENDING),
            seen: AtomicU64::new(0),
            clients: Clients::default(),
            connections: Clients::default(),
            requests_at_work: AtomicUsize::new(0),
            calls: AtomicUsize::new(0),
            watches: AtomicUsize::new(0),
            downstreams: AtomicUsize::new(0),
            number: AtomicU64::new(1),
            secret: [random(), random()],
            question_keys: RequestKeys::new(random()),
            commands,
        }
    }

    /// The hold is looked at last, right before what it allows.
    pub fn serves(&self) -> bool {
        clock_ms() < self.lease_until_ms.load(Acquire)
    }

    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Relaxed) && self.serves() && self.table.load().state.plan.is_some()
    }

    pub fn number(&self) -> u64 {
        self.number.fetch_add(1, Relaxed)
    }

    /// Keeps a little of some requests, for rehearsals; of headers only what rules name.
    pub fn saw(&self, table: &Table, head: &Head) {
        self.seen.fetch_add(1, Relaxed);
        if self.samples.is_full() || head.path().len() > SAMPLE_BYTES {
            return;
        }
        let words = table.rule_headers();
        let named = |(name, value): &&(String, String)| {
            !words.is_empty()
                && words.contains(&name.to_ascii_lowercase())
                && value.len() <= SAMPLE_BYTES
        };
        let sample = Sample {
            method: Name::from(&head.method),
            path: head.path().to_string(),
            headers: head.headers.iter().filter(named).cloned().collect(),
            body_bytes: match head.length {
                Length::Sized(size_bytes) => size_bytes,
                Length::None | Length::Chunked => 0,
            },
        };
        let _ = self.samples.push(sample);
    }

    /// What was seen since the last look.
    pub fn seen(&self) -> (Vec<Sample>, u64) {
        let samples = std::iter::from_fn(|| self.samples.pop()).take(SAMPLES_PER_REPORT).collect();
        (samples, self.seen.swap(0, Relaxed))
    }

    /// A key for a request that came without one; no other request gets it, and no client can guess it.
    pub fn made_key(&self) -> Name {
        let number = self.number();
        let mut hash = Sha256::new();
        for part in [self.secret[0], self.secret[1], self.own.incarnation, number] {
            hash.update(part.to_le_bytes());
        }
        let hash = hash.finalize();
        let secret: String = hash.iter().take(12).map(|byte| format!("{byte:02x}")).collect();
        Name::from(format!("made-{:x}-{number}-{secret}", self.own.incarnation))
    }

    /// Asks the controller and waits for its response or the end of the time. A question whose
    /// client leaves is withdrawn: what it did already stays done, and its end is unknown.
    pub fn request(&self, request: Request, wait_ms: u64, client: &ClientWatch) -> Response {
        let (reply, response) = sync_channel(1);
        let (key, wait_ms) = (self.question_keys.next(), wait_ms.max(1));
        let command = Command::Request { key, request, wait_ms, reply: Some(reply) };
        if self.commands.send(command).is_err() {
            return Response::TimedOut;
        }
        match client.receive(&response, clock_ms() + wait_ms + CONTROLLER_ANSWER_SLACK_MS) {
            Ok(response) => response,
            Err(ReceiveError::ClientDeparted) => {
                self.command(Command::Withdraw { key });
                Response::TimedOut
            }
            Err(ReceiveError::TimedOut | ReceiveError::Disconnected) => Response::TimedOut,
        }
    }

    /// Tells the controller; sent again until it is taken, waited for by nobody.
    pub fn tell(&self, request: Request, wait_ms: u64) {
        let key = self.question_keys.next();
        self.command(Command::Request { key, request, wait_ms, reply: None });
    }

    pub fn command(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}

/// A place at work, given back when dropped.
pub struct Place<'a>(&'a AtomicUsize);

impl<'a> Place<'a> {
    pub fn take(count: &'a AtomicUsize, most: usize) -> Option<Self> {
        let taken =
            count.fetch_update(Relaxed, Relaxed, |count| (count < most).then_some(count + 1));
        taken.ok().map(|_| Place(count))
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}
