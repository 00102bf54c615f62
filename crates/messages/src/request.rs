//! Requests to the controller and its responses.

use postbarrow_state::{Call, Name, Outcome, Record, Sample, Settlement, StoredResponse, Ticket};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A request to the controller; each may be sent again until it is answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    Ticket(Ticket),
    Settle {
        ticket: Ticket,
        settlement: Settlement,
        response: Option<StoredResponse>,
    },
    Call {
        id: Option<Name>,
        call: Call,
    },
    Submit(Submission),
    Show,
    Targets,
    Members,
    Status,
    /// Recent client requests, as data nodes reported them.
    #[serde(rename = "Recent")]
    RequestSamples,
}

/// A plan that was read and checked whole.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submission {
    pub version: Name,
    pub base: Option<Name>,
    pub records: Vec<Record>,
    pub dry_run: bool,
    pub allow_empty: bool,
}

/// What the controller answers, or what its client concludes where nobody does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    Granted,
    /// The key is known: what became of it.
    Known(Box<Ticket>),
    /// The key was used for another digest.
    OtherDigest,
    Settled,
    Outcome(Outcome),
    Refused(String),
    /// The log has no space for it; nothing ran under its key.
    Full,
    /// The plan in force, byte for byte as submitted.
    Plan {
        version: Name,
        offset: u64,
        text: Vec<u8>,
    },
    Operator {
        status: u16,
        body: Vec<u8>,
    },
    #[serde(rename = "Recent")]
    RequestSamples {
        samples: Vec<Sample>,
        seen: u64,
        seconds: u64,
    },
    NotController {
        controller: Option<SocketAddr>,
    },
    /// An earlier copy of the same request waits here; this one is dropped without effect.
    #[serde(rename = "Waiting")]
    Duplicate,
    /// The controller lost its place meanwhile: the end is unknown.
    Lost,
    /// Nobody answered in time: the end is unknown.
    TimedOut,
    /// Nobody who could have taken the request was ever sent it: it did nothing, and never will.
    Unavailable,
}

impl Submission {
    /// The plan's text as its records carry it.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        for record in &self.records {
            if let Record::PlanText(part) = record {
                text.extend_from_slice(part);
            }
        }
        text
    }
}
