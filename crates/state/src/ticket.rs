//! Tickets of one-time requests, and their settlements.

use crate::{Digest, Incarnation, Name};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The grant of a one-time request to one attempt on one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// Idempotency key of the request.
    pub key: Name,
    /// Digest of the request, by which a different request under the same key is detected.
    pub digest: Digest,
    /// Service that the request is for.
    pub service: Name,
    /// Instance of the target that the request is granted for.
    pub instance: Name,
    /// Incarnation of the data node that sends the request.
    pub node: Incarnation,
    /// Number that the data node gave this attempt; unique among the node's attempts.
    pub number: u64,
    /// How the attempt ended; `None` until the ticket is settled.
    pub settlement: Option<Settlement>,
    /// Response that repeats of the request get; `None` if none was stored.
    pub response: Option<Arc<StoredResponse>>,
    /// Era of the log (see `State::era`) in which the ticket was settled.
    #[serde(default)]
    pub era: u64,
}

impl Ticket {
    /// Returns the size of the stored response in bytes; 0 without one.
    pub(crate) fn response_bytes(&self) -> u64 {
        self.response.as_ref().map_or(0, |response| response.size() as u64)
    }
}

/// How a one-time request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// The request ran.
    Ran,
    /// The request never reached its target, and its key may be granted again.
    Unsent,
    /// The request may or may not have run.
    Unknown,
}

/// A response that the log retains for repeats of a one-time request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the headers, in their original order.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl StoredResponse {
    /// Returns the size of headers and body in bytes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        headers.sum::<usize>() + self.body.len()
    }
}
