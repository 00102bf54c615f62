//! Why a request is rejected before it is understood.

/// A request that can't be read: the error of this crate's readers.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{reason}")]
pub struct Reject {
    /// The HTTP status to answer with.
    pub status: u16,
    /// For the client to read.
    pub reason: &'static str,
}

/// The client closed its side or the connection broke: there is nobody to answer, so the status is
/// no HTTP status.
pub const CLIENT_DEPARTED: Reject = Reject::new(0, "the client left");
/// The body is over the bound of its route.
pub const TOO_LARGE: Reject = Reject::new(413, "the body is too large");
/// The node has no memory left for the body.
pub const FULL: Reject = Reject::new(503, "this node is full");
/// The request did not arrive before its deadline.
pub(crate) const TIMED_OUT: Reject = Reject::new(408, "the request did not come in time");
/// The head is over the listener's bound.
pub(crate) const HEAD_TOO_LARGE: Reject = Reject::new(431, "the head is too large");
/// A chunk or the trailer section is malformed (RFC 9112, 7.1) or over its bound.
pub(crate) const BAD_CHUNK: Reject = Reject::new(400, "a chunk is malformed");

impl Reject {
    pub(crate) const fn new(status: u16, reason: &'static str) -> Reject {
        Reject { status, reason }
    }
}
