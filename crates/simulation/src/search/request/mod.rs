//! A model of two requests through one node: the real `RequestFlow` of each over modelled
//! connections.

mod actions;
mod enabled;
mod flow;
mod plan;
mod rules;
mod state;
mod wire;

pub use actions::RequestAction;
pub use state::{Faults, RequestState};
pub use wire::Kind;

use crate::search::request::flow::{
    AttemptEnd, FlowEvent, FlowInput, FlowStates, Phase, TicketStatus, as_flow_event,
};
use crate::search::request::plan::{DEADLINE_MS, START_MS};
use crate::search::request::wire::{Connection, ConnectionUse, Content};
use crate::search::{Model, Violation};
use std::cell::RefCell;

/// The model of two requests through one node to two targets.
pub struct Requests {
    pub(in crate::search) kinds: [Kind; 2],
    uses_ticket_log: bool,
    /// Whether the node accepts an unnamed 'not run' only as the first response on a connection.
    requires_name: bool,
    /// Whether the node checks right before the first byte that the client has not departed.
    checks_client: bool,
    faults: Faults,
    flow_states: RefCell<FlowStates>,
}

impl Requests {
    /// Returns the model of requests of these kinds. With `uses_ticket_log`, tickets come from the
    /// log and connections prove the target's identity; otherwise requests name their targets.
    pub fn new(kinds: [Kind; 2], uses_ticket_log: bool, faults: Faults) -> Requests {
        let flow_states = RefCell::new(FlowStates::new(kinds, uses_ticket_log));
        Requests {
            kinds,
            uses_ticket_log,
            requires_name: true,
            checks_client: true,
            faults,
            flow_states,
        }
    }

    /// Returns the model without the node's check for a departed client right before the first
    /// byte.
    pub fn without_client_check(self) -> Requests {
        Requests { checks_client: false, ..self }
    }

    /// Returns the model in which the node accepts an unnamed 'not run' as any response on a
    /// connection, not only as the first.
    pub fn accepting_unnamed_refusals(self) -> Requests {
        Requests { requires_name: false, ..self }
    }
}

impl Requests {
    /// Passes an event to the flow of a client's request.
    fn feed(&self, state: &mut RequestState, client: usize, event: FlowEvent) {
        let now_ms = if state.deadlines_passed { START_MS + DEADLINE_MS } else { START_MS };
        let client_departed = state.departure_observed[client];
        let input =
            FlowInput { client, now_ms, has_lease: state.has_lease, client_departed, event };
        let mut flow_states = self.flow_states.borrow_mut();
        state.flow_state_index = flow_states.state_after(state.flow_state_index, input);
        state.phases = flow_states.phases(state.flow_state_index);
        state.tickets = flow_states.tickets(state.flow_state_index);
    }

    /// Ends the wait of a request because its client departed.
    fn stop_waiting(&self, state: &mut RequestState, client: usize) {
        state.departure_observed[client] = true;
        match state.phases[client] {
            Phase::Connect(_) => self.feed(state, client, FlowEvent::ConnectFailed),
            Phase::RequestTicket | Phase::Settle => self.feed(state, client, FlowEvent::NoResponse),
            _ => self.end_attempt(state, client, AttemptEnd::Unknown { late: false }),
        }
    }

    /// Takes an idle connection to the request's target, or opens one.
    fn connect(&self, state: &mut RequestState, client: usize) {
        let Phase::Connect(target) = state.phases[client] else { return };
        state.drop_unusable_connections(target);
        match state.idle_connection(target) {
            Some(index) => state.connections[index].usage = ConnectionUse::InUse(client),
            None if self.uses_ticket_log && state.incarnations[target] > 0 => {
                return self.feed(state, client, FlowEvent::ConnectFailed);
            }
            None => {
                let incarnation = state.incarnations[target];
                state.connections.push(Connection::open(target, incarnation, client));
            }
        }
        self.feed(state, client, FlowEvent::Connected);
    }

    /// Makes the data plane's last checks before the first byte, and sends the request if they
    /// allow it.
    fn send_request(&self, state: &mut RequestState, client: usize) {
        let Some(index) = state.connection_of(client) else { return };
        let connection = &mut state.connections[index];
        if self.checks_client && state.departed[client] {
            state.departure_observed[client] = true;
            connection.usage = ConnectionUse::Dropped;
            return self.feed(state, client, FlowEvent::AttemptEnded(AttemptEnd::Unsent));
        }
        state.sent_after_departure[client] |= state.departed[client];
        if !state.has_lease {
            connection.usage = ConnectionUse::Dropped;
            return self.feed(state, client, FlowEvent::AttemptEnded(AttemptEnd::Unsent));
        }
        connection.usage = ConnectionUse::Reading(client);
        if !connection.closed {
            connection.pending = Some((client, 0));
        }
    }

    /// Reads the response to a client's request, if it has arrived, and ends the attempt.
    fn receive(&self, state: &mut RequestState, client: usize, reads_ahead: bool) {
        let Some(index) = state.connection_of(client) else { return };
        let connection = &mut state.connections[index];
        let Some(read) = connection.read(client, reads_ahead, self.requires_name) else { return };
        connection.usage = if read.is_idle { ConnectionUse::Idle } else { ConnectionUse::Dropped };
        self.feed(state, client, as_flow_event(&read.outcome));
    }

    /// Drops the connection of a client's request and ends the attempt with this outcome.
    fn end_attempt(&self, state: &mut RequestState, client: usize, outcome: AttemptEnd) {
        if let Some(index) = state.connection_of(client) {
            state.connections[index].usage = ConnectionUse::Dropped;
        }
        self.feed(state, client, FlowEvent::AttemptEnded(outcome));
    }
}

impl Model for Requests {
    type State = RequestState;
    type Action = RequestAction;

    fn initial(&self) -> RequestState {
        RequestState {
            flow_state_index: 0,
            phases: [Phase::NotArrived; 2],
            tickets: [TicketStatus::NotRequested; 2],
            departed: [false; 2],
            departure_observed: [false; 2],
            sent_after_departure: [false; 2],
            connections: Vec::new(),
            incarnations: [0, 0],
            run_counts: [0, 0],
            deadlines_passed: false,
            has_lease: true,
            remaining_faults: self.faults,
        }
    }

    fn actions(&self, state: &RequestState) -> Vec<RequestAction> {
        let current = state;
        let mut actions: Vec<RequestAction> =
            (0..2).flat_map(|client| self.client_actions(state, client)).collect();
        actions.extend((0..2).flat_map(|client| self.departure_actions(state, client)));
        for index in 0..current.connections.len() {
            actions.extend(self.target_actions(state, index));
        }
        if current.remaining_faults.replaced_targets > 0 {
            actions.extend([0, 1].map(RequestAction::TargetReplaced));
        }
        if current.remaining_faults.freezes && !current.deadlines_passed {
            actions.push(RequestAction::DeadlinesPass);
        }
        if current.remaining_faults.freezes && current.has_lease {
            actions.push(RequestAction::LeaseExpires);
        }
        actions
    }

    fn step(&self, state: &RequestState, action: &RequestAction) -> RequestState {
        use RequestAction::*;
        let mut next = state.clone();
        match *action {
            Arrives(client) => self.feed(&mut next, client, FlowEvent::Start),
            Connects(client) => self.connect(&mut next, client),
            ConnectFails(client) => self.feed(&mut next, client, FlowEvent::ConnectFailed),
            TicketGranted(client) => self.feed(&mut next, client, FlowEvent::Granted),
            TicketSettled(client) => self.feed(&mut next, client, FlowEvent::Settled),
            TicketTimesOut(client) => self.feed(&mut next, client, FlowEvent::NoResponse),
            SendsRequest(client) => self.send_request(&mut next, client),
            SendFails(client) => self.end_attempt(&mut next, client, AttemptEnd::Unsent),
            ReadsResponse { client, reads_ahead } => self.receive(&mut next, client, reads_ahead),
            DeadlinePasses(client) => {
                self.end_attempt(&mut next, client, AttemptEnd::Unknown { late: true })
            }
            TargetRuns(index) => next.run_pending(index, Some(Content::Complete)),
            TargetRunsWithoutResponse(index) => next.run_pending(index, None),
            TargetRunsAndTruncatesResponse(index) => {
                next.run_pending(index, Some(Content::Truncated));
                next.connections[index].closed = true;
            }
            TargetRejects { connection, is_named } => {
                let connection = &mut next.connections[connection];
                if let Some((client, _)) = connection.pending.take() {
                    connection.push_response(client, Some(Content::NotRun), is_named);
                }
            }
            TargetSendsStray { connection, content, is_named } => {
                next.remaining_faults.stray_responses -= 1;
                let connection = &mut next.connections[connection];
                let for_client = connection.last_answered.unwrap_or_default();
                connection.push_response(for_client, Some(content), is_named);
            }
            TargetCloses(index) => {
                next.remaining_faults.closed_connections -= 1;
                next.connections[index].closed = true;
            }
            TargetReplaced(target) => next.replace_target(target),
            ClientDeparts(client) => next.departed[client] = true,
            NodeObservesDeparture(client) => next.departure_observed[client] = true,
            NodeStopsWaiting(client) => self.stop_waiting(&mut next, client),
            DeadlinesPass => next.deadlines_passed = true,
            LeaseExpires => next.has_lease = false,
        }
        next.remove_unused_connections();
        next
    }

    fn check(&self, state: &RequestState) -> Result<(), Violation> {
        (0..2).try_for_each(|client| self.check_request(state, client))
    }
}
