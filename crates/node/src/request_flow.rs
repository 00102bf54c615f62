//! The flow of one request, as a state machine without I/O.
//!
//! A request goes through these phases; each stands in a module of its own:
//!
//! | phase | what happens | next | module |
//! | --- | --- | --- | --- |
//! | admit | the request is counted for the retry budget; limits were checked by the driver | select target | `admit` |
//! | select target | a target that was not tried yet, by the rules of `postbarrow_routing::selection` | connect, or finish | `select_target` |
//! | connect | the driver opens a connection, or takes an idle one | request ticket, forward, or retry | `connect` |
//! | request ticket | a one-time request gets a ticket for this target from the log | forward, settle, or finish | `ticket` |
//! | forward, read response | the driver sends the request and reads the response | finish, settle, or retry | `read_response` |
//! | settle | the log records that the target did not run the request, before another may | retry, or finish | `ticket` |
//! | retry | if attempts and the service's retry budget allow one | select target, or finish | `retry` |
//! | finish | the completion for the client, and the ticket's end for the log | | `finish` |
//!
//! Two rules hold in every phase. Once its client has departed, the request starts nothing more; what
//! a target may be running goes on to its settlement. And what a target may have run is never
//! reported as not run.

mod admit;
mod connect;
mod finish;
mod read_response;
mod retry;
mod select_target;
mod ticket;

use crate::{Event, FlowContext, RequestContext, Step};
use postbarrow_routing::{Entry, Load};
use postbarrow_state::{Name, RouteKind, Target, Ticket};
use std::fmt;
use std::sync::Arc;

/// The flow of one request: which step follows which event.
pub struct RequestFlow {
    context: RequestContext,
    entry: Arc<Entry>,
    phase: Phase,
    /// Targets that were selected, in their order.
    tried: Vec<Name>,
    /// The log granted a ticket to this request, or refused it for lack of space alone.
    was_ticketed: bool,
    /// A target of an earlier attempt may have run the request.
    may_have_run: bool,
    /// What the last attempt failed of, for the client.
    last_failure: String,
}

/// What the flow awaits. Selection of a target and retries are decided within one event, so the
/// flow never rests in them.
enum Phase {
    /// The request's start.
    Admit,
    /// A connection to the target.
    Connect(Selected),
    /// The ticket for the target.
    RequestTicket(Selected, TicketRequest),
    /// The end of the attempt: the request is forwarded, and its response read.
    Forward(Selected, Option<Ticket>),
    /// The acknowledgement that the ticket is settled as unsent.
    SettleTicket(Ticket),
    /// Nothing: the request has its end.
    Finish,
}

/// The target of the present attempt.
struct Selected {
    target: Arc<Target>,
    load: Arc<Load>,
}

/// A ticket on its way, and when it was requested.
struct TicketRequest {
    ticket: Ticket,
    requested_ms: u64,
}

impl RequestFlow {
    /// The flow of a request that has found its route.
    pub fn new(context: RequestContext, entry: Arc<Entry>) -> Self {
        RequestFlow {
            context,
            entry,
            phase: Phase::Admit,
            tried: Vec::new(),
            was_ticketed: false,
            may_have_run: false,
            last_failure: String::new(),
        }
    }

    /// What to do next, after this event.
    pub fn handle(&mut self, now: &FlowContext<'_>, event: Event) -> Step {
        let phase = std::mem::replace(&mut self.phase, Phase::Finish);
        match (phase, event) {
            (Phase::Admit, Event::Start) => self.admit(now),
            (Phase::Connect(selected), Event::Connected) => self.on_connected(now, selected),
            (Phase::Connect(selected), Event::ConnectFailed(reason)) => {
                self.on_connect_failed(now, &selected, reason)
            }
            (Phase::RequestTicket(selected, request), Event::ControllerResponded(response)) => {
                self.on_ticket_response(now, selected, request, response)
            }
            (Phase::SettleTicket(ticket), Event::ControllerResponded(response)) => {
                self.on_settlement_response(now, ticket, response)
            }
            (Phase::Forward(selected, ticket), Event::AttemptEnded(outcome)) => {
                self.on_attempt_ended(now, &selected, ticket, outcome)
            }
            (phase, _) => self.on_unexpected_event(phase),
        }
    }

    fn is_one_time(&self) -> bool {
        self.entry.route().kind == RouteKind::OneTime
    }

    fn remaining_ms(&self, now: &FlowContext<'_>) -> u64 {
        self.context.deadline_ms.saturating_sub(now.now_ms)
    }
}

/// All that decides what the flow does next, but for its entry's own counters.
impl fmt::Debug for RequestFlow {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("RequestFlow")
            .field("phase", &self.phase)
            .field("tried", &self.tried)
            .field("was_ticketed", &self.was_ticketed)
            .field("may_have_run", &self.may_have_run)
            .finish_non_exhaustive()
    }
}

impl fmt::Debug for Phase {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let instance = |selected: &Selected| selected.target.instance.clone();
        match self {
            Phase::Admit => out.write_str("Admit"),
            Phase::Connect(selected) => write!(out, "Connect({})", instance(selected)),
            Phase::RequestTicket(selected, TicketRequest { ticket, requested_ms }) => {
                let instance = instance(selected);
                write!(out, "RequestTicket({instance}, {}, {requested_ms} ms)", ticket.number)
            }
            Phase::Forward(selected, ticket) => {
                let number = ticket.as_ref().map(|ticket| ticket.number);
                write!(out, "Forward({}, {number:?})", instance(selected))
            }
            Phase::SettleTicket(ticket) => write!(out, "SettleTicket({})", ticket.number),
            Phase::Finish => out.write_str("Finish"),
        }
    }
}
