//! The origin of a request.

use std::net::SocketAddr;

/// The sender of a request, to which the response is sent, and the key that the sender gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Origin {
    pub to: SocketAddr,
    pub key: u64,
}
