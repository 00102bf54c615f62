//! What may happen next to two requests through one node.

use super::request::Requests;
use super::request_flow::Phase;
use super::request_state::RequestState;
use super::request_wire::{Content, Kind};

/// One event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestAction {
    Arrives(usize),
    Connects(usize),
    ConnectFails(usize),
    TicketGranted(usize),
    TicketSettled(usize),
    TicketTimesOut(usize),
    /// The request's bytes go out, if its last look allows it.
    Writes(usize),
    /// The first byte is refused, for the target's reset is known already.
    WriteRefused(usize),
    /// A response is read; with the bytes that follow it, or without.
    Reads {
        client: usize,
        rest: bool,
    },
    /// The deadline comes while the node reads.
    Expires(usize),
    /// The target at the other end runs the request and answers.
    Runs(usize),
    RunsWithoutResponse(usize),
    RunsAndTruncatesResponse(usize),
    Rejects {
        connection: usize,
        is_named: bool,
    },
    Strays {
        connection: usize,
        content: Content,
        is_named: bool,
    },
    Closes(usize),
    Replaces(usize),
    /// The client closes its connection.
    ClientDeparts(usize),
    /// The node sees that it did, while it waits for something else.
    ObservesDeparture(usize),
    /// The node, which waits for a socket, gives up what it waits for: its client left.
    Abandons(usize),
    /// Deadlines pass, as for a node that was frozen.
    TimePasses,
    LeaseEnds,
}

impl Requests {
    pub(super) fn client_actions(&self, state: &RequestState, client: usize) -> Vec<RequestAction> {
        use RequestAction::*;
        let at = state.connection_of(client).map(|at| &state.connections[at]);
        match &state.phases[client] {
            Phase::NotArrived => vec![Arrives(client)],
            Phase::Connect(target) => match state.idle_connection(*target) {
                Some(_) => vec![Connects(client)],
                None => vec![Connects(client), ConnectFails(client)],
            },
            Phase::RequestTicket => vec![TicketGranted(client), TicketTimesOut(client)],
            Phase::Settle => vec![TicketSettled(client), TicketTimesOut(client)],
            Phase::Forward if state.is_reading(client) => {
                let mut actions = Vec::new();
                if at.is_some_and(|at| !at.inbox.is_empty() || at.closed) {
                    actions.push(Reads { client, rest: false });
                }
                if at.is_some_and(|at| at.inbox.len() > 1) {
                    actions.push(Reads { client, rest: true });
                }
                if state.late {
                    actions.push(Expires(client));
                }
                actions
            }
            Phase::Forward if at.is_some_and(|at| at.closed) => {
                vec![Writes(client), WriteRefused(client)]
            }
            Phase::Forward => vec![Writes(client)],
            Phase::Answered(_)
            | Phase::ReportedNotRun
            | Phase::ReportedUnknown
            | Phase::ClientLeft => Vec::new(),
        }
    }

    /// What a client that may leave, and a node that may see it, do. A one-time request at its
    /// target is not watched.
    pub(super) fn departure_actions(
        &self,
        state: &RequestState,
        client: usize,
    ) -> Vec<RequestAction> {
        use RequestAction::*;
        let is_in_flight = matches!(
            state.phases[client],
            Phase::Connect(_) | Phase::RequestTicket | Phase::Settle | Phase::Forward
        );
        if !state.remaining.departures || !is_in_flight {
            return Vec::new();
        }
        if !state.departed[client] {
            return vec![ClientDeparts(client)];
        }
        let is_reading = state.is_reading(client);
        let is_watched = !is_reading || self.kinds[client] == Kind::Lookup;
        let mut actions = Vec::new();
        if is_watched && !state.departure_observed[client] {
            actions.push(ObservesDeparture(client));
        }
        let waits = match state.phases[client] {
            Phase::Forward => is_reading,
            Phase::Connect(target) => state.idle_connection(target).is_none(),
            _ => true,
        };
        if is_watched && waits {
            actions.push(Abandons(client));
        }
        actions
    }

    pub(super) fn target_actions(&self, state: &RequestState, at: usize) -> Vec<RequestAction> {
        use RequestAction::*;
        let connection = &state.connections[at];
        let mut actions = Vec::new();
        if let Some((_, incarnation)) = connection.pending {
            if incarnation == connection.incarnation {
                actions.extend([Runs(at), RunsWithoutResponse(at), RunsAndTruncatesResponse(at)]);
            }
            actions.push(Rejects { connection: at, is_named: true });
            actions.push(Rejects { connection: at, is_named: false });
        }
        if connection.closed {
            return actions;
        }
        if state.remaining.strays > 0 && connection.answered.is_some() {
            for content in [Content::Complete, Content::NotRun] {
                actions.push(Strays { connection: at, content, is_named: true });
                actions.push(Strays { connection: at, content, is_named: false });
            }
            actions.push(Strays { connection: at, content: Content::Garbage, is_named: false });
        }
        if state.remaining.closes > 0 {
            actions.push(Closes(at));
        }
        actions
    }
}
