//! Model of two requests through one node: the real `RequestFlow` over modelled connections.

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
    AttemptEnd, FlowEvent, FlowInput, FlowStates, Phase, TicketEnd, as_flow_event,
};
use crate::search::request::plan::{DEADLINE_MS, START_MS};
use crate::search::request::wire::{Connection, ConnectionUse, Content};
use crate::search::{Model, Violation};
use std::cell::RefCell;

/// Two requests through one node to two targets.
pub struct Requests {
    pub(in crate::search) kinds: [Kind; 2],
    logged: bool,
    requires_name: bool,
    checks_client: bool,
    faults: Faults,
    flow_states: RefCell<FlowStates>,
}

impl Requests {
    /// `logged`: tickets come from the log, and connections prove the target's identity; else
    /// requests name their targets.
    pub fn new(kinds: [Kind; 2], logged: bool, faults: Faults) -> Requests {
        let flow_states = RefCell::new(FlowStates::new(kinds, logged));
        Requests { kinds, logged, requires_name: true, checks_client: true, faults, flow_states }
    }

    /// Omits the check for the client right before the first byte.
    pub fn without_client_check(self) -> Requests {
        Requests { checks_client: false, ..self }
    }

    /// Accepts an unnamed 'not run' on every response of a connection, not on its first alone.
    pub fn accepting_unnamed_refusals(self) -> Requests {
        Requests { requires_name: false, ..self }
    }
}

impl Requests {
    fn feed(&self, state: &mut RequestState, client: usize, event: FlowEvent) {
        let now_ms = if state.late { START_MS + DEADLINE_MS } else { START_MS };
        let client_left = state.departure_observed[client];
        let input = FlowInput { client, now_ms, serves: state.serves, client_left, event };
        let mut flow_states = self.flow_states.borrow_mut();
        state.flow_state = flow_states.after(state.flow_state, input);
        state.phases = flow_states.phases(state.flow_state);
        state.tickets = flow_states.tickets(state.flow_state);
    }

    /// Ends a wait since the client departed.
    fn abandons(&self, state: &mut RequestState, client: usize) {
        state.departure_observed[client] = true;
        match state.phases[client] {
            Phase::Connect(_) => self.feed(state, client, FlowEvent::ConnectFailed),
            Phase::RequestTicket | Phase::Settle => self.feed(state, client, FlowEvent::NoResponse),
            _ => self.outcome_counts(state, client, AttemptEnd::Unknown { late: false }),
        }
    }

    fn connects(&self, state: &mut RequestState, client: usize) {
        let Phase::Connect(target) = state.phases[client] else { return };
        state.drop_unusable(target);
        match state.idle_connection(target) {
            Some(at) => state.connections[at].usage = ConnectionUse::InUse(client),
            None if self.logged && state.incarnations[target] > 0 => {
                return self.feed(state, client, FlowEvent::ConnectFailed);
            }
            None => {
                let incarnation = state.incarnations[target];
                state.connections.push(Connection::open(target, incarnation, client));
            }
        }
        self.feed(state, client, FlowEvent::Connected);
    }

    /// The data plane's exchange up to the end of its write.
    fn writes(&self, state: &mut RequestState, client: usize) {
        let Some(at) = state.connection_of(client) else { return };
        let connection = &mut state.connections[at];
        if self.checks_client && state.departed[client] {
            state.departure_observed[client] = true;
            connection.usage = ConnectionUse::Dropped;
            return self.feed(state, client, FlowEvent::AttemptEnded(AttemptEnd::Unsent));
        }
        state.sent_after_departure[client] |= state.departed[client];
        if !state.serves {
            connection.usage = ConnectionUse::Dropped;
            return self.feed(state, client, FlowEvent::AttemptEnded(AttemptEnd::Unsent));
        }
        connection.usage = ConnectionUse::Reading(client);
        if !connection.closed {
            connection.pending = Some((client, 0));
        }
    }

    fn reads(&self, state: &mut RequestState, client: usize, rest: bool) {
        let Some(at) = state.connection_of(client) else { return };
        let connection = &mut state.connections[at];
        let Some(read) = connection.read(client, rest, self.requires_name) else { return };
        connection.usage = if read.is_idle { ConnectionUse::Idle } else { ConnectionUse::Dropped };
        self.feed(state, client, as_flow_event(&read.outcome));
    }

    fn outcome_counts(&self, state: &mut RequestState, client: usize, outcome: AttemptEnd) {
        if let Some(at) = state.connection_of(client) {
            state.connections[at].usage = ConnectionUse::Dropped;
        }
        self.feed(state, client, FlowEvent::AttemptEnded(outcome));
    }
}

impl Model for Requests {
    type State = RequestState;
    type Action = RequestAction;

    fn initial(&self) -> RequestState {
        RequestState {
            flow_state: 0,
            phases: [Phase::NotArrived; 2],
            tickets: [TicketEnd::None; 2],
            departed: [false; 2],
            departure_observed: [false; 2],
            sent_after_departure: [false; 2],
            connections: Vec::new(),
            incarnations: [0, 0],
            ran: [0, 0],
            late: false,
            serves: true,
            remaining: self.faults,
        }
    }

    fn actions(&self, state: &RequestState) -> Vec<RequestAction> {
        let standing = state;
        let mut actions: Vec<RequestAction> =
            (0..2).flat_map(|client| self.client_actions(state, client)).collect();
        actions.extend((0..2).flat_map(|client| self.departure_actions(state, client)));
        for at in 0..standing.connections.len() {
            actions.extend(self.target_actions(state, at));
        }
        if standing.remaining.replaces > 0 {
            actions.extend([0, 1].map(RequestAction::Replaces));
        }
        if standing.remaining.freezes && !standing.late {
            actions.push(RequestAction::TimePasses);
        }
        if standing.remaining.freezes && standing.serves {
            actions.push(RequestAction::LeaseEnds);
        }
        actions
    }

    fn step(&self, state: &RequestState, action: &RequestAction) -> RequestState {
        use RequestAction::*;
        let mut next = state.clone();
        match *action {
            Arrives(client) => self.feed(&mut next, client, FlowEvent::Start),
            Connects(client) => self.connects(&mut next, client),
            ConnectFails(client) => self.feed(&mut next, client, FlowEvent::ConnectFailed),
            TicketGranted(client) => self.feed(&mut next, client, FlowEvent::Granted),
            TicketSettled(client) => self.feed(&mut next, client, FlowEvent::Settled),
            TicketTimesOut(client) => self.feed(&mut next, client, FlowEvent::NoResponse),
            Writes(client) => self.writes(&mut next, client),
            WriteRefused(client) => self.outcome_counts(&mut next, client, AttemptEnd::Unsent),
            Reads { client, rest } => self.reads(&mut next, client, rest),
            Expires(client) => {
                self.outcome_counts(&mut next, client, AttemptEnd::Unknown { late: true })
            }
            Runs(at) => next.runs(at, Some(Content::Complete)),
            RunsWithoutResponse(at) => next.runs(at, None),
            RunsAndTruncatesResponse(at) => {
                next.runs(at, Some(Content::Truncated));
                next.connections[at].closed = true;
            }
            Rejects { connection, is_named } => {
                let connection = &mut next.connections[connection];
                if let Some((client, _)) = connection.pending.take() {
                    connection.push_response(client, Some(Content::NotRun), is_named);
                }
            }
            Strays { connection, content, is_named } => {
                next.remaining.strays -= 1;
                let connection = &mut next.connections[connection];
                let for_client = connection.answered.unwrap_or_default();
                connection.push_response(for_client, Some(content), is_named);
            }
            Closes(at) => {
                next.remaining.closes -= 1;
                next.connections[at].closed = true;
            }
            Replaces(target) => next.replaces(target),
            ClientDeparts(client) => next.departed[client] = true,
            ObservesDeparture(client) => next.departure_observed[client] = true,
            Abandons(client) => self.abandons(&mut next, client),
            TimePasses => next.late = true,
            LeaseEnds => next.serves = false,
        }
        next.remove_unused_connections();
        next
    }

    fn check(&self, state: &RequestState) -> Result<(), Violation> {
        (0..2).try_for_each(|client| self.check_request(state, client))
    }
}
