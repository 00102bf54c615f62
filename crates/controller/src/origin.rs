//! Where a request came from.

use std::net::SocketAddr;

/// The sender of a request and its key: what a response is addressed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Origin {
    pub to: SocketAddr,
    pub key: u64,
}
