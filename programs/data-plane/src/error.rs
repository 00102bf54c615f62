//! What goes wrong between this node and a target, and in an application's call.

use postbarrow_reading::Findings;
use std::net::SocketAddr;
use std::str::Utf8Error;
use std::{io, result};

/// Why bytes of a target are no HTTP/1.1 response with one unambiguous length (RFC 9112).
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The head is not that of a response.
    #[error("no response: {0}")]
    Head(httparse::Error),
    /// A header's value is not UTF-8.
    #[error("a header is not UTF-8")]
    HeaderNotUtf8,
    /// `Content-Length` is not a decimal number.
    #[error("its length is no number")]
    LengthNotANumber,
    /// No length, several, or a length beside a transfer coding (RFC 9112, section 6.3).
    #[error("its end is not clear")]
    AmbiguousLength,
    /// A chunk's size line is malformed or too long.
    #[error("a chunk's size can't be read")]
    ChunkSize,
    /// A chunk's size overflows.
    #[error("a huge chunk")]
    ChunkTooLarge,
    /// A chunk's data is not followed by a line end.
    #[error("a chunk has no end")]
    ChunkUnterminated,
    /// The trailer section exceeds its limit.
    #[error("endless trailers")]
    TrailersTooLong,
}

/// Why a connection to a target, or an exchange on it, failed.
#[derive(Debug, thiserror::Error)]
pub enum UpstreamError {
    /// The deadline passed.
    #[error("late")]
    DeadlinePassed,
    /// The client departed, and its request is cancelled with it.
    #[error("the client left")]
    ClientDeparted,
    /// The target accepts no more bytes.
    #[error("closed")]
    Closed,
    /// The target closed before the response was complete.
    #[error("closed before the end")]
    Truncated,
    /// The system reported an error on the socket.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The bytes are no response.
    #[error("{0}")]
    Parse(#[from] ParseError),
    /// The response's head exceeds its limit.
    #[error("its head is too large")]
    HeadTooLarge,
    /// The response exceeds its limit or the node's memory budget.
    #[error("this node has no space for it")]
    OutOfMemory,
    /// No connection was established.
    #[error("connect: {0}")]
    Connect(Box<UpstreamError>),
    /// The memory budget of an identity response can't be reserved.
    #[error("no space for a proof")]
    OutOfIdentityMemory,
    /// The target closes its connection after it identified itself.
    #[error("the target closes after its proof")]
    ClosesAfterIdentity,
    /// The exchange of the identity failed, with its cause.
    #[error("proof: {0}")]
    IdentityExchange(String),
    /// The identity response has a status other than 200.
    #[error("proof: status {0}")]
    IdentityStatus(u16),
    /// The identity is not UTF-8.
    #[error("proof: {0}")]
    IdentityNotUtf8(#[from] Utf8Error),
    /// The identity is not JSON.
    #[error("{0}")]
    IdentityNotJson(Findings),
    /// The identity misses fields, or has fields of other types.
    #[error("probe: {0}")]
    IdentityFields(Findings),
    /// The identity is not an object.
    #[error("probe: not an object")]
    IdentityNotAnObject,
    /// Another target identified itself at this address.
    #[error("another target stands at {0}")]
    OtherTarget(SocketAddr),
}

impl UpstreamError {
    /// The text for logs and clients: what was done when it failed, and the cause.
    pub fn during(&self, activity: &str) -> String {
        format!("{activity}: {self}")
    }
}

/// Why a request is no coordination call.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The body is not UTF-8.
    #[error("the body is not UTF-8")]
    NotUtf8,
    /// The body is not JSON, or has fields that are missing, unknown or of other types.
    #[error("{0}")]
    Fields(#[from] Findings),
    /// A required field is missing.
    #[error("a field is missing")]
    MissingField,
    /// A percent escape of the path or query is malformed (RFC 3986, section 2.1).
    #[error("a % escape is malformed")]
    Escape,
    /// The revision after which a watch starts is not a number.
    #[error("after must be a whole number")]
    AfterNotANumber,
    /// The resource has no such method.
    #[error("another method")]
    Method,
    /// No such resource.
    #[error("locks, numbers, keys or watch")]
    Resource,
    /// No such resource to watch.
    #[error("watch locks, numbers or keys")]
    WatchedResource,
}

impl CallError {
    /// The HTTP status of its response.
    pub fn status(&self) -> u16 {
        match self {
            CallError::NotUtf8
            | CallError::Fields(_)
            | CallError::MissingField
            | CallError::Escape
            | CallError::AfterNotANumber => 400,
            CallError::Method => 405,
            CallError::Resource | CallError::WatchedResource => 404,
        }
    }
}

/// The result of work on a connection to a target.
pub type Result<T> = result::Result<T, UpstreamError>;

#[cfg(test)]
mod tests;
