//! What happens to a node.

use postbarrow_messages::{Envelope, Request};
use postbarrow_state::{Name, Sample};
use std::net::SocketAddr;

/// What happens to a node.
pub enum Input {
    /// Time passes: every `TICK_MS`.
    Tick,
    /// A message of another process.
    Receive(Envelope),
    /// A request to the controller.
    Request {
        /// Names its response; used once.
        key: u64,
        /// What is requested.
        request: Request,
        /// It is sent again for so long.
        wait_ms: u64,
    },
    /// Nobody awaits the response to a request any more: it is not sent again.
    Withdraw {
        /// Of the request.
        key: u64,
    },
    /// A probe of a target ended.
    Probed {
        /// Which target.
        instance: Name,
        /// It proved its identity.
        sound: bool,
    },
    /// Client requests that arrived since the last such input.
    Sampled {
        /// A few of them.
        samples: Vec<Sample>,
        /// How many there were.
        observed: u64,
    },
    /// Other addresses that introduce this node.
    Seeds(Vec<SocketAddr>),
    /// This process is to stop: the node is unready from now on.
    Stop,
}
