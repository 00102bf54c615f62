//! A complete HTTP response of a target or of this node.

use postbarrow_constants::coordination::STORED_RESPONSE_BYTES;
use postbarrow_state::StoredResponse;

/// A complete HTTP response of a target or of this node.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetResponse {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values, in the order in which they are sent.
    pub headers: Vec<(String, String)>,
    /// The body, without chunked framing.
    pub body: Vec<u8>,
}

impl TargetResponse {
    /// Returns the response to store with a ticket; none if it is larger than
    /// `STORED_RESPONSE_BYTES`.
    pub(crate) fn stored(&self) -> Option<StoredResponse> {
        let stored = StoredResponse {
            status: self.status,
            headers: self.headers.clone(),
            body: self.body.clone(),
        };
        (stored.size() <= STORED_RESPONSE_BYTES).then_some(stored)
    }
}
