//! Requests of pinned clients and their responses.

use crate::client::operator::{Order, Purpose, SubmittedOrder};
use crate::client::pinned::{OWN_NUMBER, PendingRequest, PinnedClients, PinnedRequest, WAIT_MS};
use crate::client::plans::{FIXED_ROUTES, plan_text};
use crate::event::{Event, ProcessId};
use crate::world::World;
use postbarrow_controller::{Contact, Input};
use postbarrow_controller_client::{ControllerClient, Effect};
use postbarrow_messages::{Envelope, Request, Response, Submission};
use postbarrow_plan::Plan;
use postbarrow_state::{Call, Name};

/// Interval between two requests of the pinned clients, in microseconds. Six kinds of request take
/// turns.
const REQUEST_INTERVAL_US: u64 = 20_000;

/// Time after which an order of the pinned clients that was neither acknowledged nor refused is
/// submitted by the other operators, in microseconds.
const RETRY_US: u64 = 1_500_000;

/// A revision that no key has: a put that expects it always conflicts, and the outcome contains the
/// key's real revision.
const IMPOSSIBLE_REVISION: u64 = u64::MAX;

/// Name of the number and of the key that the pinned clients read and the callers change.
const SHARED_NAME: &str = "n0";

impl World {
    /// Starts clients that are pinned to control machine `at`.
    pub fn pin_clients_to(&mut self, at: usize) {
        self.pinned = Some(PinnedClients::new(at, self.control[at].incarnation));
        self.schedule(0, Event::SendPinned);
    }

    /// Sends the next request and schedules the one after it.
    pub fn send_pinned_request(&mut self) {
        let Some(pinned) = &mut self.pinned else { return };
        pinned.key += 1;
        let (at, key) = (pinned.at, pinned.key);
        self.drive_pinned_order();
        let call = |call| PinnedRequest::Call(call);
        let (number, shared_name) = (Name::from(OWN_NUMBER), Name::from(SHARED_NAME));
        let request = match key % 6 {
            0 => PinnedRequest::Show,
            1 => call(Call::ReadNumber { name: shared_name }),
            2 => call(Call::ReadKey { name: shared_name }),
            3 => call(Call::Put {
                name: shared_name,
                value: vec![9],
                revision: Some(IMPOSSIBLE_REVISION),
            }),
            4 => call(Call::Next { name: number, by: 1 }),
            _ => match self.pinned.as_ref().and_then(|pinned| pinned.order.clone()) {
                Some((_, submitted)) => PinnedRequest::Order(submitted),
                None => PinnedRequest::Show,
            },
        };
        let requested_us = self.now_us;
        self.schedule(0, Event::PinnedArrives { at, key, requested_us, request });
        self.schedule(REQUEST_INTERVAL_US, Event::SendPinned);
    }

    /// Prepares an order for the pinned clients if no order is pending in the whole cluster, so
    /// that each order is valid; passes an order that was neither acknowledged nor refused to the
    /// other operators after `RETRY_US`.
    fn drive_pinned_order(&mut self) {
        let now_us = self.now_us;
        let idle = self.operator.is_idle() && !self.plans_paused && self.random.chance(30);
        let Some(pinned) = &mut self.pinned else { return };
        match pinned.order.take() {
            Some((since_us, submitted)) if now_us > since_us + RETRY_US => self.submit(submitted),
            Some(order) => pinned.order = Some(order),
            None if idle => {
                pinned.orders += 1;
                self.operator.number += 1;
                let version = format!("v{}", self.operator.number);
                let base = self.operator.version.clone();
                let text = plan_text(&version, base.as_deref(), 0, false);
                self.operator.texts.insert(version.clone(), text.clone());
                self.operator.possibly_in_force.insert(text.clone());
                let order = Order { version, base, text };
                let submitted =
                    SubmittedOrder { order, routes: FIXED_ROUTES, purpose: Purpose::Change };
                pinned.order = Some((now_us, submitted));
            }
            None => {}
        }
    }

    /// Handles a request that arrives at the pinned clients' machine, and ignores it if the process
    /// is down.
    pub fn pinned_request_arrives(&mut self, key: u64, requested_us: u64, request: PinnedRequest) {
        let Some(at) = self.pinned.as_ref().map(|pinned| pinned.at) else { return };
        if self.control[at].node.is_none() {
            return;
        }
        self.drop_requests_of_earlier_incarnation(at);
        let message = match &request {
            PinnedRequest::Show => Request::Show,
            PinnedRequest::Order(submitted) => Request::Submit(submission(submitted)),
            PinnedRequest::Call(call) => {
                Request::Call { id: Some(Name::from(format!("cling-{key}"))), call: call.clone() }
            }
        };
        let now_ms = self.local_ms(ProcessId::Control(at));
        let Some(pinned) = &mut self.pinned else { return };
        pinned.pending.insert(key, PendingRequest { start_us: requested_us, request });
        let effects = pinned.controller_client.send_request(now_ms, key, message, WAIT_MS);
        self.apply_pinned_effects(at, effects);
    }

    /// Drops the pending requests that an earlier incarnation of the machine's process received;
    /// their outcomes stay unknown.
    fn drop_requests_of_earlier_incarnation(&mut self, at: usize) {
        let incarnation = self.control[at].incarnation;
        let Some(pinned) = &mut self.pinned else { return };
        if pinned.incarnation == incarnation {
            return;
        }
        pinned.incarnation = incarnation;
        pinned.controller_client = ControllerClient::default();
        for pending in std::mem::take(&mut pinned.pending).into_values() {
            pinned.unknown_increments += usize::from(increments_own_number(&pending.request));
        }
    }

    /// Passes the node's contact with the leader to the pinned clients' controller client, as the
    /// control plane's program does at each tick.
    pub fn pinned_clients_tick(&mut self, at: usize) {
        if self.pinned.as_ref().is_none_or(|pinned| pinned.at != at) {
            return;
        }
        self.drop_requests_of_earlier_incarnation(at);
        let now_ms = self.local_ms(ProcessId::Control(at));
        let (Some(node), Some(pinned)) = (&self.control[at].node, &mut self.pinned) else { return };
        let consensus = node.consensus();
        let members: Vec<_> = consensus.members().iter().map(|member| member.address).collect();
        match node.contact(now_ms) {
            Contact::NotMember => pinned.controller_client.on_members(now_ms, None, &members),
            Contact::Leader(leader) => {
                pinned.controller_client.on_members(now_ms, Some(leader), &members)
            }
            Contact::NoLeader { since_ms } => pinned.controller_client.on_leader_lost(since_ms),
        }
        let effects = pinned.controller_client.tick(now_ms);
        self.apply_pinned_effects(at, effects);
    }

    /// Passes a response that arrived at control machine `at` to the pinned clients, if they are
    /// pinned to it.
    pub fn pinned_clients_receive(&mut self, at: usize, key: u64, response: Response) {
        let now_ms = self.local_ms(ProcessId::Control(at));
        let Some(pinned) = self.pinned.as_mut().filter(|pinned| pinned.at == at) else { return };
        let effects = pinned.controller_client.on_response(now_ms, key, response);
        self.apply_pinned_effects(at, effects);
    }

    /// Carries out the effects of the pinned clients' controller client; a message to control
    /// machine `at` itself skips the network.
    fn apply_pinned_effects(&mut self, at: usize, effects: Vec<Effect>) {
        let from = self.control[at].address;
        for effect in effects {
            match effect {
                Effect::Send { to, message } if to == from => {
                    self.control_input(at, Input::Receive(Envelope { from, message }));
                }
                Effect::Send { to, message } => self.transmit(from, to, message),
                Effect::Answer { key, response } => self.pinned_request_answered(key, response),
            }
        }
    }

    /// Counts a response to a pinned client's request and checks it.
    fn pinned_request_answered(&mut self, key: u64, response: Response) {
        let now_us = self.now_us;
        let Some(pinned) = &mut self.pinned else { return };
        let Some(pending) = pinned.pending.remove(&key) else { return };
        let is_increment = increments_own_number(&pending.request);
        match response {
            Response::Unavailable => {
                pinned.unavailable += 1;
                pinned.waits_us.push((pending.start_us, now_us - pending.start_us));
            }
            Response::TimedOut => {
                pinned.timed_out += 1;
                pinned.unknown_increments += usize::from(is_increment);
            }
            response => {
                pinned.answered += 1;
                self.check_answer(pending.start_us, pending.request, response);
            }
        }
    }

    /// Sorts the events held back for a frozen process: clients' requests first, then frames of
    /// other machines, and ticks last. Events on different connections have no common order, and
    /// this one is the worst case for a process that wakes.
    pub(crate) fn deliver_requests_before_ticks(&mut self, process: ProcessId) {
        if let Some(pending) = self.frozen.get_mut(&process) {
            pending.sort_by_key(|event| match event {
                Event::PinnedArrives { .. } => 0,
                Event::Tick { .. } => 2,
                _ => 1,
            });
        }
    }
}

/// Returns whether a request increments `OWN_NUMBER`.
fn increments_own_number(request: &PinnedRequest) -> bool {
    matches!(request, PinnedRequest::Call(Call::Next { .. }))
}

/// Returns the message that submits an order.
fn submission(submitted: &SubmittedOrder) -> Submission {
    let order = &submitted.order;
    let plan = Plan::read(order.text.as_bytes()).expect("the simulator's plans are valid");
    Submission {
        version: order.version.as_str().into(),
        base: order.base.as_deref().map(Into::into),
        records: plan.records(),
        dry_run: false,
        allow_empty: true,
    }
}
