//! Errors of connections to targets, of their responses, and of coordination calls.

use postbarrow_reading::Findings;
use std::net::SocketAddr;
use std::str::Utf8Error;
use std::{io, result};

/// The reason why bytes from a target are not a valid HTTP/1.1 response with one unambiguous length
/// (RFC 9112).
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The bytes are not the head of an HTTP response.
    #[error("no response: {0}")]
    Head(httparse::Error),
    /// The value of a header is not UTF-8.
    #[error("a header is not UTF-8")]
    HeaderNotUtf8,
    /// `Content-Length` is not a decimal number.
    #[error("its length is no number")]
    LengthNotANumber,
    /// The response states no length, several lengths, or a length together with a transfer coding
    /// (RFC 9112, section 6.3).
    #[error("its end is not clear")]
    AmbiguousLength,
    /// A chunk's size line is malformed or too long.
    #[error("a chunk's size can't be read")]
    ChunkSize,
    /// The size of a chunk overflows the address range.
    #[error("a huge chunk")]
    ChunkTooLarge,
    /// A chunk's data is not followed by a line end.
    #[error("a chunk has no end")]
    ChunkUnterminated,
    /// The trailer section exceeds its limit.
    #[error("endless trailers")]
    TrailersTooLong,
}

/// The reason why a connection to a target, or an exchange on it, failed.
#[derive(Debug, thiserror::Error)]
pub enum UpstreamError {
    /// The deadline passed while the connection was not ready to read or write.
    #[error("late")]
    DeadlinePassed,
    /// The client departed, which cancelled its request.
    #[error("the client left")]
    ClientDeparted,
    /// The connection accepts no more bytes of the request.
    #[error("closed")]
    Closed,
    /// The target closed the connection before the response was complete.
    #[error("closed before the end")]
    Truncated,
    /// The system reported an error on the socket.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The bytes received are not a valid response.
    #[error("{0}")]
    Parse(#[from] ParseError),
    /// The head of the response exceeds `HEAD_BYTES`.
    #[error("its head is too large")]
    HeadTooLarge,
    /// The body of the response exceeds `RESPONSE_BYTES` or the node's memory budget.
    #[error("this node has no space for it")]
    OutOfMemory,
    /// The connection could not be established; the field is the cause.
    #[error("connect: {0}")]
    Connect(Box<UpstreamError>),
    /// The memory budget of an identity response can't be reserved.
    #[error("no space for a proof")]
    OutOfIdentityMemory,
    /// The target identified itself, but closes the connection after that, so that no request can
    /// be sent on it.
    #[error("the target closes after its proof")]
    ClosesAfterIdentity,
    /// The identity request got no complete response; the field is the cause.
    #[error("proof: {0}")]
    IdentityExchange(String),
    /// The identity response has a status other than 200.
    #[error("proof: status {0}")]
    IdentityStatus(u16),
    /// The body of the identity response is not UTF-8.
    #[error("proof: {0}")]
    IdentityNotUtf8(#[from] Utf8Error),
    /// The body of the identity response is not JSON.
    #[error("{0}")]
    IdentityNotJson(Findings),
    /// The identity lacks fields, or has fields of the wrong types.
    #[error("probe: {0}")]
    IdentityFields(Findings),
    /// The identity is JSON, but not an object.
    #[error("probe: not an object")]
    IdentityNotAnObject,
    /// The process at this address identified itself as another target.
    #[error("another target stands at {0}")]
    OtherTarget(SocketAddr),
}

impl UpstreamError {
    /// Returns the text for logs and clients: the activity that failed, and the cause.
    pub fn during(&self, activity: &str) -> String {
        format!("{activity}: {self}")
    }
}

/// The reason why a request is not a valid coordination call.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The body is not UTF-8.
    #[error("the body is not UTF-8")]
    NotUtf8,
    /// The body is not a JSON object, or has fields that are missing, unknown or of the wrong type.
    #[error("{0}")]
    Fields(#[from] Findings),
    /// A required field of the body is missing.
    #[error("a field is missing")]
    MissingField,
    /// A percent escape of the path or query is malformed (RFC 3986, section 2.1).
    #[error("a % escape is malformed")]
    Escape,
    /// The revision after which a watch starts is not a number.
    #[error("after must be a whole number")]
    AfterNotANumber,
    /// The resource does not support the request's method.
    #[error("another method")]
    Method,
    /// The path names none of the resources locks, numbers, keys and watch.
    #[error("locks, numbers, keys or watch")]
    Resource,
    /// The path of a watch names none of the resources locks, numbers and keys.
    #[error("watch locks, numbers or keys")]
    WatchedResource,
}

impl CallError {
    /// Returns the HTTP status of the response to the invalid call.
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

/// The result of an operation on a connection to a target.
pub type Result<T> = result::Result<T, UpstreamError>;

#[cfg(test)]
mod tests;
