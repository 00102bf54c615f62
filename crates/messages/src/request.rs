//! Requests to the controller, and the responses to them.

use postbarrow_state::{
    Call, GrantVersion, Name, Outcome, Record, Sample, Settlement, StoredResponse, Ticket,
};
use postbarrow_transactions::messagepack_bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A request to the controller. The same request may be sent again until it gets a response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Requests this ticket, without which a one-time request must not be sent to its target.
    Ticket(Ticket),
    /// Records how a one-time request ended.
    Settle {
        /// Ticket as it was granted.
        ticket: Ticket,
        /// How the one-time request ended.
        settlement: Settlement,
        /// Response to store for repeats of the one-time request; `None` to store none.
        response: Option<StoredResponse>,
    },
    /// An application's call on a lock, number or key.
    Call {
        /// Id of the call, by which a repeat is recognised and gets the same outcome; `None` if
        /// repeats need not be recognised.
        id: Option<Name>,
        /// The call to decide.
        call: Call,
    },
    /// Submits a plan.
    Submit(Submission),
    /// Reads the plan in force.
    Show,
    /// Reads the targets and the condition of the endpoint list, for an operator.
    Targets,
    /// Reads the members of the log, for an operator.
    Members,
    /// Reads the status of the controller and the data nodes, for an operator.
    Status,
    /// Reads the samples of recent client requests that data nodes reported.
    #[serde(rename = "Recent")]
    RequestSamples,
}

impl Request {
    /// Returns whether the request changes the state on behalf of a client, and so must not be sent
    /// once the client has departed. A settlement records what has already happened.
    pub fn is_change_by_client(&self) -> bool {
        match self {
            Request::Ticket(_) | Request::Submit(_) => true,
            Request::Call { call, .. } => !call.is_read(),
            Request::Settle { .. }
            | Request::Show
            | Request::Targets
            | Request::Members
            | Request::Status
            | Request::RequestSamples => false,
        }
    }

    /// Returns whether the request releases a lock and names no version of its grant.
    pub fn is_release(&self) -> bool {
        matches!(self, Request::Call { call: Call::Free { .. }, .. })
    }

    /// Returns this release of a lock with the version that the lock's grant must have. A request
    /// that is no release is returned as it is.
    pub fn confirmed(&self, version: GrantVersion) -> Request {
        let Request::Call { id, call: Call::Free { name, holder, fence } } = self else {
            return self.clone();
        };
        let (name, holder, fence) = (name.clone(), holder.clone(), *fence);
        let call = Call::FreeConfirmed { name, holder, fence, version };
        Request::Call { id: id.clone(), call }
    }
}

/// A submitted plan that was parsed and validated completely.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submission {
    /// The plan's version.
    pub version: Name,
    /// Version of the plan that this one was made from; `None` for the first plan.
    pub base: Option<Name>,
    /// Records of the plan's text, services, routes and limits.
    pub records: Vec<Record>,
    /// Whether to decide on the plan without changing the state.
    pub dry_run: bool,
    /// Whether the plan is accepted even if services have no live target.
    pub allow_empty: bool,
}

impl Submission {
    /// Returns the size of the encoded submission in bytes.
    ///
    /// # Panics
    ///
    /// Panics if the submission can't be encoded, which its derived serialization rules out.
    pub fn encoded_bytes(&self) -> usize {
        messagepack_bytes(self)
    }

    /// Returns the plan's text, assembled from the records.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        for record in &self.records {
            if let Record::PlanText(chunk) = record {
                text.extend_from_slice(chunk);
            }
        }
        text
    }
}

/// A response of the controller, or a conclusion of the requesting process when none arrived.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// The ticket was granted: the one-time request may be sent to its target.
    Granted,
    /// The idempotency key is in use. Contains the ticket that was granted for it.
    Known(Box<Ticket>),
    /// The idempotency key was used for a request with another digest.
    OtherDigest,
    /// The settlement is recorded, or has no effect because the ticket is already settled or
    /// belongs to another attempt.
    Settled,
    /// The outcome of a call.
    Outcome(Outcome),
    /// The lock's owner may have started it again after it sent this release, which had no effect.
    /// If the client still waits for the outcome, the release may be sent again as
    /// `Call::FreeConfirmed`.
    ConfirmClient {
        /// Version of the lock's grant.
        version: GrantVersion,
    },
    /// The request is not valid. Contains the reason.
    Refused(String),
    /// The state has no space for the request, and nothing ran under its key.
    Full,
    /// The plan in force.
    Plan {
        /// Version of the plan.
        version: Name,
        /// Log offset of the batch with which the plan's transaction began.
        offset: u64,
        /// Text of the plan, byte for byte as submitted.
        text: Vec<u8>,
    },
    /// A response for an operator, to be sent over HTTP.
    Operator {
        /// HTTP status code.
        status: u16,
        /// JSON body of the HTTP response.
        body: Vec<u8>,
    },
    /// Samples of recent client requests.
    #[serde(rename = "Recent")]
    RequestSamples {
        /// The samples.
        samples: Vec<Sample>,
        /// Number of all requests of which these are samples.
        seen: u64,
        /// Time over which the requests were counted, in seconds.
        seconds: u64,
    },
    /// The receiver is not the controller; the request had no effect there.
    NotController {
        /// Address of the controller; `None` if the receiver doesn't know it.
        controller: Option<SocketAddr>,
    },
    /// An earlier copy of the same request is pending; this copy is dropped without effect.
    #[serde(rename = "Waiting")]
    Duplicate,
    /// The controller lost its leadership before it could respond: the outcome is unknown.
    Lost,
    /// There was no result in time: the outcome is unknown.
    TimedOut,
    /// The request was never sent to a process that could have accepted it: it had no effect and
    /// will have none.
    Unavailable,
}
