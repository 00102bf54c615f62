//! What the flow of a request and its driver tell each other.

use crate::completion::Completion;
use postbarrow_constants::coordination::STORED_RESPONSE_BYTES;
use postbarrow_messages::{Request, Response};
use postbarrow_routing::{Load, Table};
use postbarrow_state::{Digest, Incarnation, Name, Settlement, StoredResponse, Target, Ticket};
use std::sync::Arc;

/// What one request is, beyond its bytes.
#[derive(Clone)]
pub struct RequestContext {
    /// The ticket's key: the client's, or made up here.
    pub key: Name,
    /// The client brought its key.
    pub keyed: bool,
    /// What makes two requests under one key the same.
    pub digest: Digest,
    /// This life of this node.
    pub node: Incarnation,
    /// Targets of this zone are nearer.
    pub zone: Name,
    /// One-time requests get a ticket from the log; else this life's own, under its lease.
    pub uses_ticket_log: bool,
    /// When its client has no more use for a response.
    pub deadline_ms: u64,
    /// Draws its targets.
    pub seed: u64,
}

/// A whole response, of a target or of this node.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetResponse {
    /// HTTP's.
    pub status: u16,
    /// Names and values in their order.
    pub headers: Vec<(String, String)>,
    /// Without the framing of chunks.
    pub body: Vec<u8>,
}

impl TargetResponse {
    /// What is kept with a ticket, if it is small enough.
    pub(crate) fn kept(&self) -> Option<StoredResponse> {
        let kept = StoredResponse {
            status: self.status,
            headers: self.headers.clone(),
            body: self.body.clone(),
        };
        (kept.size() <= STORED_RESPONSE_BYTES).then_some(kept)
    }
}

/// What became of a request on its connection.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target's own, whole response.
    Complete(TargetResponse),
    /// Provably not a byte reached the target.
    Unsent(String),
    /// The target itself says that it did not run the request, nor will.
    NotRun(String),
    /// It may have run.
    Unknown {
        /// Its time was over.
        late: bool,
        /// What was seen.
        reason: String,
    },
}

/// What the driver tells the flow.
pub enum Event {
    /// The request is there.
    Start,
    /// The connection stands, with a target that is the one it should be.
    Connected,
    /// There is none, and why.
    ConnectFailed(String),
    /// The controller's answer to the last question.
    ControllerResponded(Response),
    /// The end of the last pass.
    AttemptEnded(AttemptOutcome),
}

/// The end of a ticket, for the log.
#[derive(Clone, Debug)]
pub struct TicketSettlement {
    /// Whose end it is.
    pub ticket: Ticket,
    /// How its request ended.
    pub settlement: Settlement,
    /// What a repeat under its key is answered with.
    pub response: Option<StoredResponse>,
}

impl From<TicketSettlement> for Request {
    fn from(settling: TicketSettlement) -> Request {
        let TicketSettlement { ticket, settlement, response } = settling;
        Request::Settle { ticket, settlement, response }
    }
}

/// What the driver does next; each but Done is answered by one event.
pub enum Step {
    /// Opens a connection to this target, or takes one that rests.
    Connect {
        /// Which one.
        target: Arc<Target>,
        /// What is known of its load.
        load: Arc<Load>,
        /// The request's time.
        wait_ms: u64,
    },
    /// Asks the controller for a ticket.
    RequestTicket {
        /// As it is to stand in the log.
        ticket: Ticket,
        /// For so long.
        wait_ms: u64,
    },
    /// Its first byte goes out before `until_ms`, within the lease, or none does.
    Forward {
        /// For its whole response.
        wait_ms: u64,
        /// On the boot-time clock.
        until_ms: u64,
    },
    /// Has a ticket settled before anything else.
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
        /// For the log; told until it is taken, waited for by nobody.
        settling: Option<TicketSettlement>,
    },
}

/// What the driver knows at the moment of an event.
pub struct FlowContext<'a> {
    /// On the boot-time clock.
    pub now_ms: u64,
    /// The image in force.
    pub table: &'a Table,
    /// The node holds its lease.
    pub serves: bool,
    /// A number this node never gave before.
    pub number: u64,
    /// The client of the request has left: nothing more is begun for it.
    pub client_departed: bool,
}
