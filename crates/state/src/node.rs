//! A data node.

use crate::{Incarnation, Name};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A data node with a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Which run of the process.
    pub incarnation: Incarnation,
    /// The node's name in its settings.
    pub name: Name,
    /// Where it listens for other nodes.
    pub address: SocketAddr,
    /// Where it listens for clients.
    pub http: SocketAddr,
    /// Where it runs.
    pub zone: Name,
}
