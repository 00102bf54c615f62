//! Model of two requests through one node: the real `RequestFlow` over modelled connections.

use super::Model;
use super::request_actions::RequestAction;
use super::request_flow::{
    DEADLINE_MS, Fed, Moment, PassedAs, Phase, START_MS, TicketEnd, Views, as_fed,
};
use super::request_state::RequestState;
use super::request_wire::{Connection, Content, Kind, Use};
use std::cell::RefCell;

/// How much may go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    /// Second responses and garbage that targets may send.
    pub strays: u8,
    /// Connections that targets may close.
    pub closes: u8,
    /// Targets that may be replaced under the same address.
    pub replaces: u8,
    /// The node may stand still beyond its deadlines, and its lease may end.
    pub freezes: bool,
    /// Clients may leave at any moment.
    pub leaves: bool,
}

/// Two requests through one node to two targets.
pub struct Requests {
    pub(super) kinds: [Kind; 2],
    logged: bool,
    strict: bool,
    looks: bool,
    faults: Faults,
    views: RefCell<Views>,
}

impl Requests {
    /// `logged`: tickets come from the log, and connections prove who is there; else requests name
    /// their targets.
    pub fn new(kinds: [Kind; 2], logged: bool, faults: Faults) -> Requests {
        let views = RefCell::new(Views::new(kinds, logged));
        Requests { kinds, logged, strict: true, looks: true, faults, views }
    }

    /// Nobody looks for the client right before the first byte.
    pub fn without_a_last_look(self) -> Requests {
        Requests { looks: false, ..self }
    }

    /// A nameless word 'not run' counts on every response of a connection, not on its first alone.
    pub fn believing_nameless_refusals(self) -> Requests {
        Requests { strict: false, ..self }
    }
}

impl Requests {
    fn feed(&self, state: &mut RequestState, client: usize, fed: Fed) {
        let now_ms = if state.late { START_MS + DEADLINE_MS } else { START_MS };
        let client_left = state.seen_gone[client];
        let moment = Moment { client, now_ms, serves: state.serves, client_left, fed };
        let mut views = self.views.borrow_mut();
        state.view = views.after(state.view, moment);
        state.phases = views.phases(state.view);
        state.tickets = views.tickets(state.view);
    }

    /// As a wait that ends with `Waited::ClientLeft` or `Unreceived::ClientLeft`.
    fn abandons(&self, state: &mut RequestState, client: usize) {
        state.seen_gone[client] = true;
        match state.phases[client] {
            Phase::Connect(_) => self.feed(state, client, Fed::Unconnected),
            Phase::AskTicket | Phase::Settle => self.feed(state, client, Fed::Unheard),
            _ => self.ends(state, client, PassedAs::Unknown { late: false }),
        }
    }

    fn connects(&self, state: &mut RequestState, client: usize) {
        let Phase::Connect(target) = state.phases[client] else { return };
        state.drops_unfit(target);
        match state.resting(target) {
            Some(at) => state.connections[at].used = Use::Taken(client),
            None if self.logged && state.lives[target] > 0 => {
                return self.feed(state, client, Fed::Unconnected);
            }
            None => {
                let life = state.lives[target];
                state.connections.push(Connection::open(target, life, client));
            }
        }
        self.feed(state, client, Fed::Connected);
    }

    /// As `TargetConnection::exchange` up to the end of its write.
    fn writes(&self, state: &mut RequestState, client: usize) {
        let Some(at) = state.connection_of(client) else { return };
        let connection = &mut state.connections[at];
        if self.looks && state.gone[client] {
            state.seen_gone[client] = true;
            connection.used = Use::Dropped;
            return self.feed(state, client, Fed::Passed(PassedAs::Unsent));
        }
        state.sent_for_nobody[client] |= state.gone[client];
        if !state.serves {
            connection.used = Use::Dropped;
            return self.feed(state, client, Fed::Passed(PassedAs::Unsent));
        }
        connection.used = Use::Reading(client);
        if !connection.closed {
            connection.pending = Some((client, 0));
        }
    }

    fn reads(&self, state: &mut RequestState, client: usize, rest: bool) {
        let Some(at) = state.connection_of(client) else { return };
        let connection = &mut state.connections[at];
        let Some(read) = connection.read(client, rest, self.strict) else { return };
        connection.used = if read.rests { Use::Resting } else { Use::Dropped };
        self.feed(state, client, as_fed(&read.passed));
    }

    fn ends(&self, state: &mut RequestState, client: usize, passed: PassedAs) {
        if let Some(at) = state.connection_of(client) {
            state.connections[at].used = Use::Dropped;
        }
        self.feed(state, client, Fed::Passed(passed));
    }
}

impl Model for Requests {
    type State = RequestState;
    type Action = RequestAction;

    fn initial(&self) -> RequestState {
        RequestState {
            view: 0,
            phases: [Phase::Away; 2],
            tickets: [TicketEnd::None; 2],
            gone: [false; 2],
            seen_gone: [false; 2],
            sent_for_nobody: [false; 2],
            connections: Vec::new(),
            lives: [0, 0],
            ran: [0, 0],
            late: false,
            serves: true,
            left: self.faults,
        }
    }

    fn actions(&self, state: &RequestState) -> Vec<RequestAction> {
        let standing = state;
        let mut actions: Vec<RequestAction> =
            (0..2).flat_map(|client| self.client_actions(state, client)).collect();
        actions.extend((0..2).flat_map(|client| self.leaving_actions(state, client)));
        for at in 0..standing.connections.len() {
            actions.extend(self.target_actions(state, at));
        }
        if standing.left.replaces > 0 {
            actions.extend([0, 1].map(RequestAction::Replaces));
        }
        if standing.left.freezes && !standing.late {
            actions.push(RequestAction::TimePasses);
        }
        if standing.left.freezes && standing.serves {
            actions.push(RequestAction::LeaseEnds);
        }
        actions
    }

    fn step(&self, state: &RequestState, action: &RequestAction) -> RequestState {
        use RequestAction::*;
        let mut next = state.clone();
        match *action {
            Comes(client) => self.feed(&mut next, client, Fed::Start),
            Connects(client) => self.connects(&mut next, client),
            ConnectFails(client) => self.feed(&mut next, client, Fed::Unconnected),
            TicketGranted(client) => self.feed(&mut next, client, Fed::Granted),
            TicketSettled(client) => self.feed(&mut next, client, Fed::Settled),
            TicketUnheard(client) => self.feed(&mut next, client, Fed::Unheard),
            Writes(client) => self.writes(&mut next, client),
            WriteRefused(client) => self.ends(&mut next, client, PassedAs::Unsent),
            Reads { client, rest } => self.reads(&mut next, client, rest),
            Expires(client) => self.ends(&mut next, client, PassedAs::Unknown { late: true }),
            Runs(at) => next.runs(at, Some(Content::Whole)),
            RunsInSilence(at) => next.runs(at, None),
            RunsAndCutsItsAnswer(at) => {
                next.runs(at, Some(Content::Cut));
                next.connections[at].closed = true;
            }
            TurnsAway { connection, named } => {
                let connection = &mut next.connections[connection];
                if let Some((client, _)) = connection.pending.take() {
                    connection.answers(client, Some(Content::NotRun), named);
                }
            }
            Strays { connection, content, named } => {
                next.left.strays -= 1;
                let connection = &mut next.connections[connection];
                let made_for = connection.answered.unwrap_or_default();
                connection.answers(made_for, Some(content), named);
            }
            Closes(at) => {
                next.left.closes -= 1;
                next.connections[at].closed = true;
            }
            Replaces(target) => next.replaces(target),
            Leaves(client) => next.gone[client] = true,
            SeesGone(client) => next.seen_gone[client] = true,
            Abandons(client) => self.abandons(&mut next, client),
            TimePasses => next.late = true,
            LeaseEnds => next.serves = false,
        }
        next.tidy();
        next
    }

    fn check(&self, state: &RequestState) -> Result<(), String> {
        (0..2).try_for_each(|client| self.check_request(state, client))
    }
}
