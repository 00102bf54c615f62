//! The origin of a request.

use std::net::SocketAddr;

/// The sender's address and the request's key, to which the response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Origin {
    pub to: SocketAddr,
    pub key: u64,
}
