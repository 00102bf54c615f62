//! The flow of one request, as a state machine without I/O.
//!
//! A request goes through these phases, each in its own module:
//!
//! | phase | action | next | module |
//! | --- | --- | --- | --- |
//! | admit | the retry budget counts the request; the driver has already checked the limits | select target | `admit` |
//! | select target | the flow selects an untried target by the rules of `postbarrow_routing::selection` | connect, or finish | `select_target` |
//! | connect | the driver opens a connection or reuses an idle one | request ticket, forward, or retry | `connect` |
//! | request ticket | the driver requests a ticket for this target from the log, for one-time requests only | forward, settle, or finish | `ticket` |
//! | forward, read response | the driver sends the request and reads the response | finish, settle, or retry | `read_response` |
//! | settle | the log records that the target did not run the request, before another target may run it | retry, or finish | `ticket` |
//! | retry | the flow checks whether the maximum of attempts and the service's retry budget allow another attempt | select target, or finish | `retry` |
//! | finish | the flow returns the completion for the client and the ticket's settlement for the log | | `finish` |
//!
//! Two rules hold in every phase. Once the client has departed, the flow starts no further attempt,
//! but an attempt that a target may be running still leads to the settlement of its ticket. A
//! request that a target may have run is never reported as not run.

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

/// The flow of one request: decides the next step after each event.
pub struct RequestFlow {
    request_context: RequestContext,
    entry: Arc<Entry>,
    phase: Phase,
    /// Instances of the targets selected so far, in order.
    tried: Vec<Name>,
    /// Whether the log granted this request a ticket, or refused it only for lack of space.
    was_ticketed: bool,
    /// Whether the target of an earlier attempt may have run the request.
    may_have_run: bool,
    /// Why the last attempt failed, for the client; empty before the first failure.
    last_failure: String,
}

/// The event that the flow awaits. Target selection and retries are decided within one event, so
/// they have no phase.
enum Phase {
    /// Awaits the start of the request.
    Admit,
    /// Awaits a connection to the target.
    Connect(Selected),
    /// Awaits the ticket for the target.
    RequestTicket(Selected, TicketRequest),
    /// Awaits the end of the attempt, in which the driver forwards the request and reads the
    /// response.
    Forward(Selected, Option<Ticket>),
    /// Awaits the acknowledgement that the ticket is settled as unsent.
    SettleTicket(Ticket),
    /// Awaits nothing: the request has ended.
    Finish,
}

/// The target of the current attempt.
struct Selected {
    target: Arc<Target>,
    load: Arc<Load>,
}

/// A requested ticket, and when it was requested.
struct TicketRequest {
    ticket: Ticket,
    requested_ms: u64,
}

impl RequestFlow {
    /// Creates the flow of a request whose route was found.
    pub fn new(request_context: RequestContext, entry: Arc<Entry>) -> Self {
        RequestFlow {
            request_context,
            entry,
            phase: Phase::Admit,
            tried: Vec::new(),
            was_ticketed: false,
            may_have_run: false,
            last_failure: String::new(),
        }
    }

    /// Handles an event; returns the driver's next step.
    pub fn handle(&mut self, context: &FlowContext<'_>, event: Event) -> Step {
        let phase = std::mem::replace(&mut self.phase, Phase::Finish);
        match (phase, event) {
            (Phase::Admit, Event::Start) => self.admit(context),
            (Phase::Connect(selected), Event::Connected) => self.on_connected(context, selected),
            (Phase::Connect(selected), Event::ConnectFailed(reason)) => {
                self.on_connect_failed(context, &selected, reason)
            }
            (Phase::RequestTicket(selected, request), Event::ControllerResponded(response)) => {
                self.on_ticket_response(context, selected, request, response)
            }
            (Phase::SettleTicket(ticket), Event::ControllerResponded(response)) => {
                self.on_settlement_response(context, ticket, response)
            }
            (Phase::Forward(selected, ticket), Event::AttemptEnded(outcome)) => {
                self.on_attempt_ended(context, &selected, ticket, outcome)
            }
            (phase, _) => self.on_unexpected_event(phase),
        }
    }

    fn is_one_time(&self) -> bool {
        self.entry.route().kind == RouteKind::OneTime
    }

    fn remaining_ms(&self, context: &FlowContext<'_>) -> u64 {
        self.request_context.deadline_ms.saturating_sub(context.now_ms)
    }
}

/// Shows the state that decides the flow's next step, except for its entry's counters.
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
