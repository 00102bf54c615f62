//! The data node: passes its inputs to its parts and collects their effects.

use crate::image_tail::{ImageEvent, ImageTail};
use crate::lease::{GrantedLease, NodeLease};
use crate::probe_failures::ProbeFailures;
use crate::request_samples::RequestSamples;
use crate::{Effect, Input};
use postbarrow_controller_client::{ControllerClient, Effect as ClientEffect};
use postbarrow_membership::FailureDetector;
use postbarrow_messages::{Envelope, LeaseRequest, LeaseResponse, Message};
use postbarrow_state::{Incarnation, Node, State};
use std::net::SocketAddr;
use std::sync::Arc;

/// A node of the data plane, with its lease, its image and its requests to the controller.
pub struct DataNode {
    own: Node,
    seeds: Vec<SocketAddr>,
    image_tail: ImageTail,
    lease: NodeLease,
    failure_detector: FailureDetector,
    controller_client: ControllerClient,
    probe_failures: ProbeFailures,
    samples: RequestSamples,
    is_stopping: bool,
    /// Whether the last log line about serving said that this node serves.
    last_logged_serving: bool,
    effects: Vec<Effect>,
}

impl DataNode {
    /// Creates a node without a lease or an image, which knows only its seeds: addresses of
    /// processes that may introduce it to control nodes.
    pub fn new(own: Node, seeds: Vec<SocketAddr>, now_ms: u64) -> Self {
        DataNode {
            seeds,
            image_tail: ImageTail::new(own.incarnation),
            lease: NodeLease::new(now_ms, own.incarnation),
            failure_detector: FailureDetector::default(),
            controller_client: ControllerClient::default(),
            probe_failures: ProbeFailures::default(),
            samples: RequestSamples::default(),
            is_stopping: false,
            last_logged_serving: false,
            effects: Vec::new(),
            own,
        }
    }

    /// Sets how long a granted lease is valid; the default is `NODE_LEASE_MS`.
    pub fn with_lease_duration_ms(mut self, lease_ms: u64) -> Self {
        self.lease.set_duration_ms(lease_ms);
        self
    }

    /// Handles an input; returns the resulting effects in the order in which to carry them out.
    pub fn handle(&mut self, now_ms: u64, input: Input) -> Vec<Effect> {
        match input {
            Input::Tick => self.tick(now_ms),
            Input::Receive(envelope) => self.receive(now_ms, envelope),
            Input::Request { key, request, wait_ms } => {
                let effects = self.controller_client.send_request(now_ms, key, request, wait_ms);
                self.push_client_effects(effects);
            }
            Input::Withdraw { key } => self.controller_client.withdraw(key),
            Input::Probed { instance, identified } => {
                self.probe_failures.on_probed(instance, identified)
            }
            Input::Sampled { samples, observed } => self.samples.add(samples, observed),
            Input::Seeds(seeds) => self.seeds = seeds,
            Input::Stop => self.is_stopping = true,
        }
        let relayed = self.image_tail.relay_to_children(now_ms);
        self.effects.extend(relayed);
        std::mem::take(&mut self.effects)
    }

    fn receive(&mut self, now_ms: u64, envelope: Envelope) {
        let Envelope { from, message } = envelope;
        match message {
            Message::LeaseResponse { number, response } => {
                self.on_lease_response(now_ms, from, number, response)
            }
            Message::Introduction { control_addresses, log_exists } => {
                if log_exists {
                    self.lease.on_introduction(&control_addresses);
                }
            }
            Message::Introduce | Message::DiscoveryAnnouncement(_) => {
                let control_addresses = self.lease.members().to_vec();
                let log_exists = !control_addresses.is_empty();
                self.send(from, Message::Introduction { control_addresses, log_exists });
            }
            Message::Tail { after } => self.image_tail.on_child_tail(now_ms, from, after),
            Message::Updates { entries } => {
                let events = self.image_tail.on_updates(now_ms, entries);
                events.into_iter().for_each(|event| self.on_image_event(event));
            }
            Message::Image(frame) => {
                let event = self.image_tail.on_image(now_ms, frame);
                event.into_iter().for_each(|event| self.on_image_event(event));
            }
            Message::Heartbeat { node } => self.failure_detector.on_heartbeat(now_ms, node),
            Message::Response { key, response } => {
                let effects = self.controller_client.on_response(now_ms, key, response);
                self.push_client_effects(effects);
            }
            Message::Consensus { .. }
            | Message::Bootstrap(_)
            | Message::LeaseRequest(_)
            | Message::Request { .. } => {}
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.renew_lease(now_ms);
        self.log_serving(now_ms);
        let (controller, watermark) = (self.lease.controller(), self.lease.watermark());
        let effects = self.image_tail.tick(now_ms, controller, watermark);
        self.effects.extend(effects);
        self.send_heartbeats(now_ms);
        let effects = self.controller_client.tick(now_ms);
        self.push_client_effects(effects);
    }

    fn renew_lease(&mut self, now_ms: u64) {
        if !self.lease.is_due(now_ms) {
            return;
        }
        if self.lease.drop_unresponsive_controller(now_ms) {
            self.controller_client.forget_controller();
        }
        let renewal = self.lease.renew(now_ms, &self.seeds);
        if renewal.is_search {
            for to in &renewal.to {
                self.send(*to, Message::Introduce);
            }
        }
        let request = LeaseRequest {
            number: renewal.number,
            node: self.own.clone(),
            image_offset: self.published(),
            version: self.image().plan.as_ref().map(|plan| plan.version.clone()),
            ready: self.is_ready(now_ms),
            failing_targets: self.probe_failures.failing(self.image_tail.image()),
            suspects: self.failure_detector.suspects(now_ms),
            samples: std::mem::take(&mut self.samples.samples),
            request_count: std::mem::take(&mut self.samples.observed),
        };
        for to in renewal.to {
            self.send(to, Message::LeaseRequest(request.clone()));
        }
    }

    fn on_lease_response(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        number: u64,
        response: LeaseResponse,
    ) {
        match response {
            LeaseResponse::Granted { term, watermark, members } => {
                let granted = GrantedLease { term, watermark, members };
                let Some(is_new_controller) = self.lease.on_granted(now_ms, from, number, granted)
                else {
                    return;
                };
                if is_new_controller {
                    self.image_tail.request_updates_at_next_tick(now_ms);
                }
                self.controller_client.on_members(now_ms, Some(from), self.lease.members());
                self.announce_lease(self.published());
            }
            LeaseResponse::NotController { controller, members } => {
                self.lease.on_not_controller(from, controller, members);
                self.controller_client.on_members(now_ms, None, self.lease.members());
            }
        }
    }

    fn on_image_event(&mut self, event: ImageEvent) {
        match event {
            ImageEvent::Published { state, offset } => {
                self.effects.push(Effect::Publish { state, offset });
                self.announce_lease(offset);
            }
            ImageEvent::Log(text) => self.effects.push(Effect::Log(text)),
        }
    }

    fn announce_lease(&mut self, published: u64) {
        if let Some(until_ms) = self.lease.announce(published) {
            self.effects.push(Effect::Lease { until_ms });
        }
    }

    /// Logs a line whenever this node starts or stops serving.
    fn log_serving(&mut self, now_ms: u64) {
        let serves = self.serves(now_ms);
        if serves == self.last_logged_serving {
            return;
        }
        self.last_logged_serving = serves;
        let version = self.image().plan_version().unwrap_or_default().to_string();
        self.effects.push(Effect::Log(match serves {
            true => format!("serving version={version}"),
            false => "shedding reason=\"no lease covers the published image\"".into(),
        }));
    }

    fn send_heartbeats(&mut self, now_ms: u64) {
        let state = self.image().clone();
        let nodes: Vec<Incarnation> = state.nodes.keys().copied().collect();
        for watcher in self.failure_detector.tick(now_ms, self.own.incarnation, &nodes) {
            if let Some(node) = state.nodes.get(&watcher) {
                self.send(node.address, Message::Heartbeat { node: self.own.incarnation });
            }
        }
    }

    fn push_client_effects(&mut self, effects: Vec<ClientEffect>) {
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

    /// Returns when the node's lease ends, on its own boot-time clock; 0 without a lease.
    pub fn lease_until_ms(&self) -> u64 {
        self.lease.until_ms(self.published())
    }

    /// Returns whether the node may serve requests: it has a lease and a plan.
    fn serves(&self, now_ms: u64) -> bool {
        now_ms < self.lease_until_ms() && self.image().plan.is_some()
    }

    /// Returns whether clients may be routed to this node: it serves and is not stopping.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        !self.is_stopping && self.serves(now_ms)
    }

    /// Returns the log offset that the published image has reached.
    pub fn published(&self) -> u64 {
        self.image_tail.published()
    }

    /// Returns the newest image; the empty state before the first one.
    pub fn image(&self) -> &Arc<State> {
        self.image_tail.image()
    }

    /// Returns the description under which this node registers with the controller.
    pub fn own(&self) -> &Node {
        &self.own
    }

    /// Returns the number of requests to the controller that await a response.
    pub fn pending_request_count(&self) -> usize {
        self.controller_client.pending_count()
    }
}
