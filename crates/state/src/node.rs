//! The data nodes' entries in the state.

use crate::{Incarnation, Name};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A data node that was granted a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Number of the run of the node's process, by which the state and the messages identify the
    /// node.
    pub incarnation: Incarnation,
    /// Name from the node's settings.
    pub name: Name,
    /// Address at which the node listens for messages of other processes.
    pub address: SocketAddr,
    /// Address at which the node listens for clients' HTTP requests.
    pub http: SocketAddr,
    /// Zone in which the node runs.
    pub zone: Name,
}
