//! How requests end, and what is known about their execution.

use crate::TargetResponse;
use postbarrow_state::{Name, Ticket};

/// How a request ended, independent of the HTTP response that its client gets.
#[derive(Debug)]
pub enum RequestOutcome {
    /// The target gave this complete response.
    Complete(TargetResponse),
    /// The log already has this ticket under the request's key.
    Known(Box<Ticket>),
    /// The request's key belongs to a request with another digest.
    OtherDigest,
    /// No route matches the request.
    NoRoute,
    /// Routes match the request's path and host but not its method; they have these methods.
    OtherMethods(Vec<Name>),
    /// The request's body is larger than the route's limit, given in bytes.
    BodyTooLarge(u64),
    /// The request exceeds the route's limit of requests per second.
    OverRate,
    /// The request exceeds the route's limit of requests in flight.
    OverConcurrency,
    /// The node has no capacity for the request.
    Overloaded,
    /// The node has no lease, or no plan.
    Unready,
    /// No target remains to try. The text says why the last attempt failed; empty if there was
    /// none.
    NoTarget(String),
    /// No further attempt is allowed. The text says why the last one failed.
    GaveUp(String),
    /// The log refused a ticket, for this reason.
    NoTicket(String),
    /// The request's deadline passed before the next attempt started.
    DeadlinePassed,
    /// The client departed before the request ended.
    ClientDeparted,
    /// The controller gave no definite response about the ticket: the log may still grant it, but
    /// no request will use it.
    TicketUnknown,
    /// The target gave no complete response. The text says what was observed.
    TargetFailed(String),
    /// The target did not respond in time. The text says what was observed.
    TargetTimedOut(String),
}

/// How a request ended, and what is known about its execution.
#[derive(Debug)]
pub struct Completion {
    /// How the request ended.
    pub outcome: RequestOutcome,
    /// The facts that limit what the node may say about the request's execution.
    pub evidence: ExecutionEvidence,
    /// The key generated for a one-time request without a client key; none for other requests.
    pub key: Option<Name>,
}

/// The facts that decide whether a node may report that a request did not run.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutionEvidence {
    /// Whether the request may run at most once.
    pub one_time: bool,
    /// Whether the client sent an idempotency key.
    pub keyed: bool,
    /// Whether the log granted this request a ticket, or refused it only for lack of space; either
    /// way, no request under its key ran before.
    pub ticketed: bool,
    /// Whether a target may have run the request.
    pub may_have_run: bool,
}
