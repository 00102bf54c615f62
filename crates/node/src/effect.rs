//! What a node wants done.

use postbarrow_messages::{Message, Response};
use postbarrow_state::State;
use std::net::SocketAddr;
use std::sync::Arc;

/// What a node wants done, in this order.
pub enum Effect {
    /// A message is sent.
    Send {
        /// To this process.
        to: SocketAddr,
        /// It may be lost.
        message: Message,
    },
    /// A request to the controller has its end.
    Answer {
        /// Of the request.
        key: u64,
        /// The controller's response, or what the client concludes.
        response: Response,
    },
    /// A complete image is to be swapped in.
    Publish {
        /// The image.
        state: Arc<State>,
        /// Up to where in the log it reaches.
        offset: u64,
    },
    /// The node may serve until then, and no longer.
    Lease {
        /// On the node's boot-time clock.
        until_ms: u64,
    },
    /// A line for the log.
    Log(String),
}
