//! The inputs of a node.

use postbarrow_messages::{Envelope, Request};
use postbarrow_state::{Name, Sample};
use std::net::SocketAddr;

/// An input of a node: the passage of time, a message, or an instruction of the node's owner.
pub enum Input {
    /// Time passed; given every `TICK_MS`.
    Tick,
    /// A message from another process arrived.
    Receive(Envelope),
    /// Sends a request to the controller.
    Request {
        /// Identifies the request in its response; never used for a second request.
        key: u64,
        /// The request.
        request: Request,
        /// How long the request is resent without a response.
        wait_ms: u64,
    },
    /// Stops resending a request whose response is no longer awaited.
    Withdraw {
        /// The key of the request.
        key: u64,
    },
    /// A probe of a target ended.
    Probed {
        /// The target's instance.
        instance: Name,
        /// Whether the target proved its identity.
        identified: bool,
    },
    /// Reports the client requests that arrived since the last `Sampled` input.
    Sampled {
        /// Samples of these requests.
        samples: Vec<Sample>,
        /// Number of all these requests.
        observed: u64,
    },
    /// Replaces the seeds: the addresses of processes that may introduce this node to control
    /// nodes.
    Seeds(Vec<SocketAddr>),
    /// The process is stopping: the node is not ready from now on.
    Stop,
}
