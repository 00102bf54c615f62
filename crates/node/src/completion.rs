//! How requests end, and what that says of their execution.

use crate::TargetResponse;
use postbarrow_state::{Name, Ticket};

/// How a request ended, before it is put into HTTP.
#[derive(Debug)]
pub enum RequestOutcome {
    /// The target's own, complete response.
    Complete(TargetResponse),
    /// Its key is known: the ticket as the log has it.
    Known(Box<Ticket>),
    /// Its key belongs to another request.
    OtherDigest,
    /// No route takes its path.
    NoRoute,
    /// Routes take its path with these methods only.
    OtherMethods(Vec<Name>),
    /// Its body is larger than the route's limit of so many bytes.
    BodyTooLarge(u64),
    /// Over the route's requests a second.
    OverRate,
    /// Over the route's requests in flight.
    OverConcurrency,
    /// The node is over its capacity.
    Overloaded,
    /// The node has no lease, or no plan.
    Unready,
    /// No target remains to try; how the last attempt failed.
    NoTarget(String),
    /// No further attempt is allowed; how the last one failed.
    GaveUp(String),
    /// The log gives it no ticket, for this reason.
    NoTicket(String),
    /// Its deadline passed before it was sent.
    DeadlinePassed,
    /// The client departed before the request had an end.
    ClientDeparted,
    /// No response about the ticket: it may yet be granted, though it will not be used.
    TicketUnknown,
    /// The target gave no complete response; what it gave.
    TargetFailed(String),
    /// The target did not respond in time; what was observed.
    TargetTimedOut(String),
}

/// How a request ended, and how sure that is.
#[derive(Debug)]
pub struct Completion {
    /// Its end.
    pub outcome: RequestOutcome,
    /// What can be promised of its execution.
    pub evidence: ExecutionEvidence,
    /// The key that was generated for a request without one.
    pub key: Option<Name>,
}

/// What decides whether a node may say that a request did not run.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutionEvidence {
    /// It may run at most once.
    pub one_time: bool,
    /// Its client sent a key.
    pub keyed: bool,
    /// The log granted this request a ticket, so nothing ran under its key before.
    pub ticketed: bool,
    /// A target may have run it.
    pub may_have_run: bool,
}
