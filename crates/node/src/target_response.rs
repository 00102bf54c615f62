//! A complete HTTP response.

use postbarrow_constants::coordination::STORED_RESPONSE_BYTES;
use postbarrow_state::StoredResponse;

/// A complete response, of a target or of this node.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetResponse {
    /// HTTP's status code.
    pub status: u16,
    /// Names and values in their order.
    pub headers: Vec<(String, String)>,
    /// Without the framing of chunks.
    pub body: Vec<u8>,
}

impl TargetResponse {
    /// What is stored with a ticket, if it is small enough.
    pub(crate) fn stored(&self) -> Option<StoredResponse> {
        let stored = StoredResponse {
            status: self.status,
            headers: self.headers.clone(),
            body: self.body.clone(),
        };
        (stored.size() <= STORED_RESPONSE_BYTES).then_some(stored)
    }
}
