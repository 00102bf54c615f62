//! The actions that are possible next for two requests through one node.

use crate::search::request::Requests;
use crate::search::request::actions::RequestAction;
use crate::search::request::flow::Phase;
use crate::search::request::state::RequestState;
use crate::search::request::wire::{Content, Kind};

impl Requests {
    pub(in crate::search) fn client_actions(
        &self,
        state: &RequestState,
        client: usize,
    ) -> Vec<RequestAction> {
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

    /// Departures of clients, and a node's reactions. A one-time request at its target is not
    /// watched for them.
    pub(in crate::search) fn departure_actions(
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

    pub(in crate::search) fn target_actions(
        &self,
        state: &RequestState,
        at: usize,
    ) -> Vec<RequestAction> {
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
