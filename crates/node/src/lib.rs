//! A data-plane node without I/O: freshness and hold, the relay tree, and the flow of one request.

#![deny(missing_docs)]

mod completion;
mod flow_step;
mod lease;
mod request_flow;
mod updates;

pub use completion::{Completion, ExecutionEvidence, KEY, OUTCOME, REPLAYED, RequestOutcome};
pub use flow_step::{
    AttemptOutcome, Event, FlowContext, RequestContext, Step, TargetResponse, TicketSettlement,
};
pub use request_flow::RequestFlow;

use lease::NodeLease;
use postbarrow_constants::nodes::*;
use postbarrow_constants::plans::SAMPLES_PER_REPORT;
use postbarrow_controller_client::{ControllerClient, Effect as ClientEffect};
use postbarrow_membership::{FailureDetector, Relay};
use postbarrow_messages::{EncodedImage, Envelope, Message, Request};
use postbarrow_state::{Incarnation, Name, Node, Sample, State};
use postbarrow_transactions::Tail;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// What happens to a node.
pub enum Input {
    /// Time passes: every `TICK_MS`.
    Tick,
    /// A message of another process.
    Receive(Envelope),
    /// A question to the controller.
    Request {
        /// For its answer; none comes twice.
        key: u64,
        /// What is asked.
        request: Request,
        /// It is sent again for so long.
        wait_ms: u64,
    },
    /// Nobody waits for the answer to this question any more: it is not sent again.
    Withdraw {
        /// Of the question.
        key: u64,
    },
    /// A probe of a target ended.
    Probed {
        /// Which one.
        instance: Name,
        /// It proved itself.
        sound: bool,
    },
    /// Some of the requests that came, and how many came.
    Sampled {
        /// A few of them.
        samples: Vec<Sample>,
        /// All of them.
        seen: u64,
    },
    /// Other addresses that introduce this node.
    Seeds(Vec<SocketAddr>),
    /// This process is asked to stop: the node is unready from now on.
    Stop,
}

/// What a node wants done.
pub enum Effect {
    /// A message goes out.
    Send {
        /// To this process.
        to: SocketAddr,
        /// It may be lost.
        message: Message,
    },
    /// A question has its end.
    Answer {
        /// Of the question.
        key: u64,
        /// The controller's, or what is concluded.
        response: postbarrow_messages::Response,
    },
    /// A whole image to swap in.
    Publish {
        /// All of it.
        state: Arc<State>,
        /// Up to where in the log.
        offset: u64,
    },
    /// The node may serve until then, on its own clock, and no longer.
    Lease {
        /// On the boot-time clock.
        until_ms: u64,
    },
    /// A line for the log.
    Log(String),
}

/// A node of the data plane: freshness and lease, news of the image, questions to the controller.
pub struct DataNode {
    own: Node,
    seeds: Vec<SocketAddr>,
    tail: Tail<State>,
    published: u64,
    has_image: bool,
    resync: bool,
    relay: Relay,
    encoded: EncodedImage,
    watch: FailureDetector,
    controller_client: ControllerClient,
    lease: NodeLease,
    failures: BTreeMap<Name, u32>,
    direct_until_ms: u64,
    behind_ms: Option<u64>,
    tail_due_ms: u64,
    tailed_from: Option<SocketAddr>,
    stopping: bool,
    recent: Vec<Sample>,
    seen: u64,
    effects: Vec<Effect>,
}

impl DataNode {
    /// A node that knows nothing but who may introduce it.
    pub fn new(own: Node, seeds: Vec<SocketAddr>, now_ms: u64) -> Self {
        let lease = NodeLease::new(now_ms, own.incarnation);
        DataNode {
            own,
            seeds,
            tail: Tail::new(0, State::default()),
            published: 0,
            has_image: false,
            resync: false,
            relay: Relay::default(),
            encoded: EncodedImage::default(),
            watch: FailureDetector::default(),
            controller_client: ControllerClient::default(),
            lease,
            failures: BTreeMap::new(),
            direct_until_ms: 0,
            behind_ms: None,
            tail_due_ms: 0,
            tailed_from: None,
            stopping: false,
            recent: Vec::new(),
            seen: 0,
            effects: Vec::new(),
        }
    }

    /// Serves so long after an answered question, instead of the usual time.
    pub fn with_lease(mut self, hold_ms: u64) -> Self {
        self.lease.lease_ms = hold_ms;
        self
    }

    /// What an input leads to.
    pub fn handle(&mut self, now_ms: u64, input: Input) -> Vec<Effect> {
        match input {
            Input::Tick => self.tick(now_ms),
            Input::Receive(envelope) => self.receive(now_ms, envelope),
            Input::Request { key, request, wait_ms } => {
                let effects = self.controller_client.send_request(now_ms, key, request, wait_ms);
                self.absorb(effects);
            }
            Input::Withdraw { key } => self.controller_client.withdraw(key),
            Input::Probed { instance, sound } => self.on_probed(instance, sound),
            Input::Sampled { samples, seen } => {
                self.recent.extend(samples);
                self.recent.truncate(SAMPLES_PER_REPORT);
                self.seen += seen;
            }
            Input::Seeds(seeds) => self.seeds = seeds,
            Input::Stop => self.stopping = true,
        }
        self.relay_on(now_ms);
        std::mem::take(&mut self.effects)
    }

    fn receive(&mut self, now_ms: u64, envelope: Envelope) {
        let Envelope { from, message } = envelope;
        match message {
            Message::LeaseResponse { number, response } => {
                self.on_lease_response(now_ms, from, number, response)
            }
            Message::Introduction { control, formed } => {
                if formed {
                    self.lease.on_introduction(&control);
                }
            }
            Message::Introduce | Message::DiscoveryAnnouncement(_) => {
                let control = self.lease.members().to_vec();
                let formed = !control.is_empty();
                self.send(from, Message::Introduction { control, formed });
            }
            Message::Tail { after } => {
                if self.has_image {
                    self.relay.on_tail(now_ms, from, after);
                }
            }
            Message::Updates { entries } => self.on_updates(now_ms, entries),
            Message::Image(frame) => self.on_image(now_ms, frame),
            Message::Heartbeat { node } => self.watch.on_heartbeat(now_ms, node),
            Message::Response { key, response } => {
                let effects = self.controller_client.on_response(now_ms, key, response);
                self.absorb(effects);
            }
            Message::Consensus { .. }
            | Message::Bootstrap(_)
            | Message::LeaseRequest(_)
            | Message::Request { .. } => {}
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.lease_tick(now_ms);
        self.say_serves(now_ms);
        self.tail_tick(now_ms);
        self.ring_tick(now_ms);
        let effects = self.controller_client.tick(now_ms);
        self.absorb(effects);
    }

    fn ring_tick(&mut self, now_ms: u64) {
        let state = self.tail.image().clone();
        let nodes: Vec<Incarnation> = state.nodes.keys().copied().collect();
        for watcher in self.watch.tick(now_ms, self.own.incarnation, &nodes) {
            if let Some(node) = state.nodes.get(&watcher) {
                self.send(node.address, Message::Heartbeat { node: self.own.incarnation });
            }
        }
    }

    fn on_probed(&mut self, instance: Name, sound: bool) {
        if sound {
            self.failures.remove(&instance);
        } else {
            *self.failures.entry(instance).or_default() += 1;
        }
    }

    /// Targets this node says are down.
    fn failing(&self) -> Vec<Name> {
        let state = self.tail.image();
        let failing = self.failures.iter().filter(|(instance, count)| {
            **count >= PROBE_FAILURES && state.targets.contains_key(*instance)
        });
        failing.map(|(instance, _)| instance.clone()).collect()
    }

    fn absorb(&mut self, effects: Vec<ClientEffect>) {
        for effect in effects {
            self.effects.push(match effect {
                ClientEffect::Send { to, message } => Effect::Send { to, message },
                ClientEffect::Answer { key, response } => Effect::Answer { key, response },
            });
        }
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        self.effects.push(Effect::Send { to, message });
    }

    /// Until when it may serve, on its own clock.
    pub fn lease_until(&self) -> u64 {
        self.lease.lease_until(self.published)
    }
    /// Whether clients may be sent here.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        !self.stopping && now_ms < self.lease_until() && self.tail.image().plan.is_some()
    }
    /// Up to where in the log its image reaches.
    pub fn published(&self) -> u64 {
        self.published
    }
    /// The newest image.
    pub fn image(&self) -> &Arc<State> {
        self.tail.image()
    }
    /// Who this is.
    pub fn own(&self) -> &Node {
        &self.own
    }
    /// Questions to the controller without an end.
    pub fn pending_requests(&self) -> usize {
        self.controller_client.pending_count()
    }
}
