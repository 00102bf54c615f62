//! What may happen next to two requests through one node.

use super::request::Requests;
use super::request_flow::Phase;
use super::request_state::RequestState;
use super::request_wire::{Content, Kind};

/// One event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestAction {
    Comes(usize),
    Connects(usize),
    ConnectFails(usize),
    TicketGranted(usize),
    TicketSettled(usize),
    TicketUnheard(usize),
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
    RunsInSilence(usize),
    RunsAndCutsItsAnswer(usize),
    TurnsAway {
        connection: usize,
        named: bool,
    },
    Strays {
        connection: usize,
        content: Content,
        named: bool,
    },
    Closes(usize),
    Replaces(usize),
    /// The client closes its connection.
    Leaves(usize),
    /// The node sees that it did, while it waits for something else.
    SeesGone(usize),
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
            Phase::Away => vec![Comes(client)],
            Phase::Connect(target) => match state.resting(*target) {
                Some(_) => vec![Connects(client)],
                None => vec![Connects(client), ConnectFails(client)],
            },
            Phase::AskTicket => vec![TicketGranted(client), TicketUnheard(client)],
            Phase::Settle => vec![TicketSettled(client), TicketUnheard(client)],
            Phase::Pass if state.is_reading(client) => {
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
            Phase::Pass if at.is_some_and(|at| at.closed) => {
                vec![Writes(client), WriteRefused(client)]
            }
            Phase::Pass => vec![Writes(client)],
            Phase::Answered(_) | Phase::PromisedNotRun | Phase::ToldUnknown | Phase::ClientLeft => {
                Vec::new()
            }
        }
    }

    /// What a client that may leave, and a node that may see it, do. A one-time request at its
    /// target is not watched.
    pub(super) fn leaving_actions(
        &self,
        state: &RequestState,
        client: usize,
    ) -> Vec<RequestAction> {
        use RequestAction::*;
        let is_at_work = matches!(
            state.phases[client],
            Phase::Connect(_) | Phase::AskTicket | Phase::Settle | Phase::Pass
        );
        if !state.left.leaves || !is_at_work {
            return Vec::new();
        }
        if !state.gone[client] {
            return vec![Leaves(client)];
        }
        let is_reading = state.is_reading(client);
        let is_watched = !is_reading || self.kinds[client] == Kind::Lookup;
        let mut actions = Vec::new();
        if is_watched && !state.seen_gone[client] {
            actions.push(SeesGone(client));
        }
        let waits = match state.phases[client] {
            Phase::Pass => is_reading,
            Phase::Connect(target) => state.resting(target).is_none(),
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
        if let Some((_, life)) = connection.pending {
            if life == connection.life {
                actions.extend([Runs(at), RunsInSilence(at), RunsAndCutsItsAnswer(at)]);
            }
            actions.push(TurnsAway { connection: at, named: true });
            actions.push(TurnsAway { connection: at, named: false });
        }
        if connection.closed {
            return actions;
        }
        if state.left.strays > 0 && connection.answered.is_some() {
            for content in [Content::Whole, Content::NotRun] {
                actions.push(Strays { connection: at, content, named: true });
                actions.push(Strays { connection: at, content, named: false });
            }
            actions.push(Strays { connection: at, content: Content::Garbage, named: false });
        }
        if state.left.closes > 0 {
            actions.push(Closes(at));
        }
        actions
    }
}
