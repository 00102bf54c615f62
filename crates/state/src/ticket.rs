//! The ticket of a one-time request, and how it was settled.

use crate::{Digest, Incarnation, Name};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The grant of a one-time request for one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// The request's idempotency key.
    pub key: Name,
    /// Digest of the request: another request under the same key is recognised by it.
    pub digest: Digest,
    /// The request's service.
    pub service: Name,
    /// The target that the request is granted for.
    pub instance: Name,
    /// The node that sends it.
    pub node: Incarnation,
    /// The node's own number of this attempt; no two attempts share one.
    pub number: u64,
    /// How it ended; none until it is settled.
    pub settlement: Option<Settlement>,
    /// What repeats of the request get.
    pub response: Option<Arc<StoredResponse>>,
    /// The log's own time when it was settled.
    #[serde(default)]
    pub era: u64,
}

impl Ticket {
    /// Bytes of its stored response; 0 without one.
    pub(crate) fn response_bytes(&self) -> u64 {
        self.response.as_ref().map_or(0, |response| response.size() as u64)
    }
}

/// How a one-time request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// It ran.
    Ran,
    /// It never reached its target and may be granted again.
    Unsent,
    /// It may have run or not.
    Unknown,
}

/// The response that the log retains for repeats of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// Status code.
    pub status: u16,
    /// Headers in their order.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl StoredResponse {
    /// Bytes of headers and body.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        headers.sum::<usize>() + self.body.len()
    }
}
