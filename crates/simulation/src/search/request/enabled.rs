//! The events that are possible in a state of the model of two requests through one node.

use crate::search::request::Requests;
use crate::search::request::actions::RequestAction;
use crate::search::request::flow::Phase;
use crate::search::request::state::RequestState;
use crate::search::request::wire::{Content, Kind};

impl Requests {
    /// Returns the next events of a client's request at the node.
    pub(in crate::search) fn client_actions(
        &self,
        state: &RequestState,
        client: usize,
    ) -> Vec<RequestAction> {
        use RequestAction::*;
        let connection = state.connection_of(client).map(|index| &state.connections[index]);
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
                if connection.is_some_and(|found| !found.inbox.is_empty() || found.closed) {
                    actions.push(ReadsResponse { client, reads_ahead: false });
                }
                if connection.is_some_and(|found| found.inbox.len() > 1) {
                    actions.push(ReadsResponse { client, reads_ahead: true });
                }
                if state.deadlines_passed {
                    actions.push(DeadlinePasses(client));
                }
                actions
            }
            Phase::Forward if connection.is_some_and(|found| found.closed) => {
                vec![SendsRequest(client), SendFails(client)]
            }
            Phase::Forward => vec![SendsRequest(client)],
            Phase::Answered(_)
            | Phase::ReportedNotRun
            | Phase::ReportedUnknown
            | Phase::ClientDeparted => Vec::new(),
        }
    }

    /// Returns the departure of a client and the node's reactions to it. The node does not watch
    /// for the departure while it reads the response to a one-time request.
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
        if !state.remaining_faults.departures || !is_in_flight {
            return Vec::new();
        }
        if !state.departed[client] {
            return vec![ClientDeparts(client)];
        }
        let is_reading = state.is_reading(client);
        let is_watched = !is_reading || self.kinds[client] == Kind::Lookup;
        let mut actions = Vec::new();
        if is_watched && !state.departure_observed[client] {
            actions.push(NodeObservesDeparture(client));
        }
        let is_waiting = match state.phases[client] {
            Phase::Forward => is_reading,
            Phase::Connect(target) => state.idle_connection(target).is_none(),
            _ => true,
        };
        if is_watched && is_waiting {
            actions.push(NodeStopsWaiting(client));
        }
        actions
    }

    /// Returns the next events of the target at the other end of a connection.
    pub(in crate::search) fn target_actions(
        &self,
        state: &RequestState,
        index: usize,
    ) -> Vec<RequestAction> {
        use RequestAction::*;
        let connection = &state.connections[index];
        let mut actions = Vec::new();
        if let Some((_, incarnation)) = connection.pending {
            if incarnation == connection.incarnation {
                actions.extend([
                    TargetRuns(index),
                    TargetRunsWithoutResponse(index),
                    TargetRunsAndTruncatesResponse(index),
                ]);
            }
            actions.push(TargetRejects { connection: index, is_named: true });
            actions.push(TargetRejects { connection: index, is_named: false });
        }
        if connection.closed {
            return actions;
        }
        if state.remaining_faults.stray_responses > 0 && connection.last_answered.is_some() {
            for content in [Content::Complete, Content::NotRun] {
                actions.push(TargetSendsStray { connection: index, content, is_named: true });
                actions.push(TargetSendsStray { connection: index, content, is_named: false });
            }
            actions.push(TargetSendsStray {
                connection: index,
                content: Content::Garbage,
                is_named: false,
            });
        }
        if state.remaining_faults.closed_connections > 0 {
            actions.push(TargetCloses(index));
        }
        actions
    }
}
