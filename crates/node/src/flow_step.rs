//! The interface between the flow of a request and its driver: the driver passes events, the flow
//! returns steps.

use crate::{Completion, TargetResponse};
use postbarrow_messages::{Request, Response};
use postbarrow_routing::{Load, Table};
use postbarrow_state::{Digest, Incarnation, Name, Settlement, StoredResponse, Target, Ticket};
use std::sync::Arc;

/// The properties of a request that its flow needs, apart from the request's bytes.
#[derive(Clone)]
pub struct RequestContext {
    /// The key of the request's ticket: the client's key, or one that this node generated; empty if
    /// the request has neither.
    pub key: Name,
    /// Whether the client sent the key.
    pub keyed: bool,
    /// Digest of the request; requests under one key are the same request if their digests are
    /// equal.
    pub digest: Digest,
    /// The incarnation of this node.
    pub node: Incarnation,
    /// The node's zone, whose targets are preferred.
    pub zone: Name,
    /// Whether one-time requests need a ticket from the log; if not, the node's lease alone permits
    /// them.
    pub uses_ticket_log: bool,
    /// The request's deadline, on the boot-time clock.
    pub deadline_ms: u64,
    /// Seed of the pseudo-random draws of targets.
    pub seed: u64,
}

/// How one attempt at a target ended.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target gave this complete response.
    Complete(TargetResponse),
    /// Provably no byte of the request reached the target, for this reason.
    Unsent(String),
    /// The target states that it did not and will not run the request, for this reason.
    NotRun(String),
    /// The target may have run the request.
    Unknown {
        /// Whether the time for the response had passed.
        timed_out: bool,
        /// The failure that was observed.
        reason: String,
    },
}

/// An event that the driver reports to the flow.
pub enum Event {
    /// The request was admitted; its route was found before.
    Start,
    /// A connection is open, and its peer is the selected target.
    Connected,
    /// No connection to the selected target could be opened, for this reason.
    ConnectFailed(String),
    /// The controller responded to the last ticket request or settlement.
    ControllerResponded(Response),
    /// The last attempt ended.
    AttemptEnded(AttemptOutcome),
}

/// The settlement of a ticket, as it is reported to the log.
#[derive(Clone, Debug)]
pub struct TicketSettlement {
    /// The ticket that is settled.
    pub ticket: Ticket,
    /// How the ticket's request ended.
    pub settlement: Settlement,
    /// The response that later requests under the same key get; none if no response is stored.
    pub response: Option<StoredResponse>,
}

impl From<TicketSettlement> for Request {
    fn from(ticket_settlement: TicketSettlement) -> Request {
        let TicketSettlement { ticket, settlement, response } = ticket_settlement;
        Request::Settle { ticket, settlement, response }
    }
}

/// The driver's next step. The driver reports the result of each step but `Done` by one event.
pub enum Step {
    /// Opens a connection to a target or reuses an idle one; reported by `Connected` or
    /// `ConnectFailed`.
    Connect {
        /// The selected target.
        target: Arc<Target>,
        /// The target's load.
        load: Arc<Load>,
        /// The time until the request's deadline, which bounds the wait for the connection.
        wait_ms: u64,
    },
    /// Requests a ticket from the controller; reported by `ControllerResponded`.
    RequestTicket {
        /// The ticket as the log should store it.
        ticket: Ticket,
        /// How long to wait for the response.
        wait_ms: u64,
    },
    /// Forwards the request and reads the response; reported by `AttemptEnded`. If the first byte
    /// can't be sent before `until_ms` and within the lease, none is sent.
    Forward {
        /// How long to wait for the complete response.
        wait_ms: u64,
        /// The latest time for the first byte, on the boot-time clock; `u64::MAX` without a ticket.
        until_ms: u64,
    },
    /// Settles a ticket before any further attempt; reported by `ControllerResponded`.
    SettleTicket {
        /// The ticket and how it is settled.
        settlement: TicketSettlement,
        /// How long to wait for the response.
        wait_ms: u64,
    },
    /// Ends the request; the flow expects no further event.
    Done {
        /// The result for the client.
        completion: Completion,
        /// The settlement for the log, if a ticket remains to be settled: it is resent until it is
        /// acknowledged, and the client's response does not wait for it.
        settlement: Option<TicketSettlement>,
    },
}

/// The driver's state at the time of an event.
pub struct FlowContext<'a> {
    /// The time of the event, on the boot-time clock.
    pub now_ms: u64,
    /// The routing table of the current image.
    pub table: &'a Table,
    /// Whether the node has a lease.
    pub has_lease: bool,
    /// A ticket number that this incarnation of the node has not used before.
    pub ticket_number: u64,
    /// Whether the client of the request has departed; no further attempt is started then.
    pub client_departed: bool,
}
