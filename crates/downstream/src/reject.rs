//! Rejections of requests that can't be read.

/// The rejection of a request that can't be read; the error type of this crate's readers.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{reason}")]
pub struct Reject {
    /// The HTTP status of the response; 0 if no response is sent, as in [`CLIENT_DEPARTED`].
    pub status: u16,
    /// The error text in the response to the client.
    pub reason: &'static str,
}

/// The client closed its side or the connection broke. No response can be sent, so the status is 0,
/// which is not an HTTP status.
pub const CLIENT_DEPARTED: Reject = Reject::new(0, "the client departed");
/// The body exceeds the size limit that the caller set, such as that of its route.
pub const TOO_LARGE: Reject = Reject::new(413, "the body is too large");
/// The memory budget has no space left for the body.
pub const OUT_OF_MEMORY: Reject = Reject::new(503, "this node is full");
/// The request was not received completely before its deadline.
pub(crate) const TIMED_OUT: Reject = Reject::new(408, "the request did not come in time");
/// The head exceeds the size limit of the listener.
pub(crate) const HEAD_TOO_LARGE: Reject = Reject::new(431, "the head is too large");
/// A chunk or the trailer section is malformed (RFC 9112, 7.1) or exceeds its size limit.
pub(crate) const BAD_CHUNK: Reject = Reject::new(400, "a chunk is malformed");

impl Reject {
    pub(crate) const fn new(status: u16, reason: &'static str) -> Reject {
        Reject { status, reason }
    }
}
