use crate::verdict::Verdict;
use postbarrow_constants::coordination::KEPT_RESPONSE_BYTES;
use postbarrow_messages::Response;
use postbarrow_routing::{Load, Table};
use postbarrow_state::{Digest, Incarnation, Kept, Name, Settlement, Target, Ticket};
use std::sync::Arc;

/// What one request is, beyond its bytes.
#[derive(Clone)]
pub struct RequestContext {
    pub key: Name,
    pub keyed: bool,
    pub digest: Digest,
    pub node: Incarnation,
    pub zone: Name,
    /// One-time requests get a ticket from the log; else this life's own, under its lease.
    pub logged: bool,
    /// When its client has no more use for a response.
    pub until_ms: u64,
    pub seed: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct TargetResponse {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl TargetResponse {
    /// What is kept with a ticket, if it is small enough.
    pub(crate) fn kept(&self) -> Option<Kept> {
        let kept =
            Kept { status: self.status, headers: self.headers.clone(), body: self.body.clone() };
        (kept.size() <= KEPT_RESPONSE_BYTES).then_some(kept)
    }
}

#[derive(Debug)]
pub enum Passed {
    Whole(TargetResponse),
    /// Provably not a byte reached the target.
    Unsent(String),
    /// The target itself says that it did not run the request, nor will.
    NotRun(String),
    Unknown {
        late: bool,
        why: String,
    },
}

pub enum Event {
    Start,
    Connected,
    Unconnected(String),
    Answered(Response),
    Passed(Passed),
}

/// What the driver does next; each but Done is answered by one event.
pub enum Step {
    Connect {
        target: Arc<Target>,
        load: Arc<Load>,
        wait_ms: u64,
    },
    AskTicket {
        ticket: Ticket,
        wait_ms: u64,
    },
    /// Its first byte goes out before `until_ms`, within the lease, or none does.
    Pass {
        wait_ms: u64,
        until_ms: u64,
    },
    Settle {
        ticket: Ticket,
        settlement: Settlement,
        response: Option<Kept>,
        wait_ms: u64,
    },
    Done {
        verdict: Verdict,
        settle: Option<(Ticket, Settlement, Option<Kept>)>,
    },
}

/// What the driver knows at the moment of an event.
pub struct Now<'a> {
    pub now_ms: u64,
    pub table: &'a Table,
    pub serves: bool,
    /// A number this node never gave before.
    pub number: u64,
    /// The client of the request has left: nothing more is begun for it.
    pub client_left: bool,
}
