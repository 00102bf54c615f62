//! What the flow of a request and its driver exchange: events in, steps out.

use crate::{Completion, TargetResponse};
use postbarrow_messages::{Request, Response};
use postbarrow_routing::{Load, Table};
use postbarrow_state::{Digest, Incarnation, Name, Settlement, StoredResponse, Target, Ticket};
use std::sync::Arc;

/// What one request is, beyond its bytes.
#[derive(Clone)]
pub struct RequestContext {
    /// The ticket's key: the client's, or one generated here.
    pub key: Name,
    /// The key is the client's.
    pub keyed: bool,
    /// Two requests under one key are the same if their digests are.
    pub digest: Digest,
    /// This incarnation of this node.
    pub node: Incarnation,
    /// Targets of this zone are preferred.
    pub zone: Name,
    /// One-time requests get a ticket from the log; otherwise none, and the lease alone covers them.
    pub uses_ticket_log: bool,
    /// When its client has no more use for a response, on the boot-time clock.
    pub deadline_ms: u64,
    /// Draws its targets.
    pub seed: u64,
}

/// How one attempt at a target ended.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target's own, complete response.
    Complete(TargetResponse),
    /// Provably not a byte reached the target; the reason.
    Unsent(String),
    /// The target itself says that it did not run the request, nor will; its reason.
    NotRun(String),
    /// The target may have run it.
    Unknown {
        /// The time for its response was over.
        late: bool,
        /// What was observed.
        reason: String,
    },
}

/// What the driver reports to the flow.
pub enum Event {
    /// The request has found its route and was admitted.
    Start,
    /// The connection is there, and its target is the one that was selected.
    Connected,
    /// There is no connection, for this reason.
    ConnectFailed(String),
    /// The controller's response to the last request.
    ControllerResponded(Response),
    /// The end of the last attempt.
    AttemptEnded(AttemptOutcome),
}

/// The end of a ticket, for the log.
#[derive(Clone, Debug)]
pub struct TicketSettlement {
    /// The ticket that ends.
    pub ticket: Ticket,
    /// How its request ended.
    pub settlement: Settlement,
    /// What a repeat under its key is answered with.
    pub response: Option<StoredResponse>,
}

impl From<TicketSettlement> for Request {
    fn from(settled: TicketSettlement) -> Request {
        let TicketSettlement { ticket, settlement, response } = settled;
        Request::Settle { ticket, settlement, response }
    }
}

/// What the driver does next; it reports each step but `Done` by one event.
pub enum Step {
    /// Opens a connection to this target, or takes an idle one; then `Connected` or `ConnectFailed`.
    Connect {
        /// The selected target.
        target: Arc<Target>,
        /// Its load.
        load: Arc<Load>,
        /// The time until the request's deadline.
        wait_ms: u64,
    },
    /// Requests a ticket of the controller; then `ControllerResponded`.
    RequestTicket {
        /// As it is to stand in the log.
        ticket: Ticket,
        /// For so long.
        wait_ms: u64,
    },
    /// Forwards the request and reads its response; then `AttemptEnded`. The first byte is sent
    /// before `until_ms` and within the lease, or none is.
    Forward {
        /// For the complete response.
        wait_ms: u64,
        /// On the boot-time clock.
        until_ms: u64,
    },
    /// Has a ticket settled before anything else; then `ControllerResponded`.
    SettleTicket {
        /// Its end.
        settlement: TicketSettlement,
        /// For so long.
        wait_ms: u64,
    },
    /// The request has its end.
    Done {
        /// For the client.
        completion: Completion,
        /// For the log: requested until it is acknowledged, though nobody awaits that.
        settlement: Option<TicketSettlement>,
    },
}

/// What the driver knows at the moment of an event.
pub struct FlowContext<'a> {
    /// On the boot-time clock.
    pub now_ms: u64,
    /// The table of the image in force.
    pub table: &'a Table,
    /// The node has its lease.
    pub serves: bool,
    /// A ticket's number that this node never gave before.
    pub number: u64,
    /// The client of the request has departed: nothing more is started for it.
    pub client_departed: bool,
}
