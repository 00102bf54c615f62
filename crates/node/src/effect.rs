//! The effects of a node, which its owner carries out.

use postbarrow_messages::{Message, Response};
use postbarrow_state::State;
use std::net::SocketAddr;
use std::sync::Arc;

/// An effect that the owner of a node carries out; effects are carried out in their order.
pub enum Effect {
    /// Sends a message.
    Send {
        /// The address of the receiving process.
        to: SocketAddr,
        /// The message, which may be lost.
        message: Message,
    },
    /// Ends a request to the controller.
    Answer {
        /// The key of the request.
        key: u64,
        /// The controller's response, or the one that the controller client concludes without it.
        response: Response,
    },
    /// Replaces the image that requests are served from.
    Publish {
        /// The new image.
        state: Arc<State>,
        /// The log offset that the image has reached.
        offset: u64,
    },
    /// Extends the node's lease: the node may serve until this time and no longer.
    Lease {
        /// The end of the lease, on the node's boot-time clock.
        until_ms: u64,
    },
    /// Writes a line to the process's log.
    Log(String),
}
