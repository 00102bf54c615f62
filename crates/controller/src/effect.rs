//! What a control node wants done.

use crate::PendingSnapshot;
use postbarrow_consensus::Write;
use postbarrow_messages::Message;
use std::net::SocketAddr;

/// One action for the caller of `ControlNode::handle`, to be carried out in the order given.
#[derive(Debug)]
pub enum Effect {
    /// Send a message.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Write to the disk, then return `Input::Synced`.
    Write {
        /// The number that `Input::Synced` names once the write is durable.
        sequence: u64,
        /// What is written.
        write: Write,
    },
    /// Fetch a page of the endpoint list, then return `Input::Page`.
    Fetch {
        /// The number that the result names.
        number: u64,
        /// The page's cursor; the first page has none.
        cursor: Option<String>,
    },
    /// Encode a snapshot beside the control loop, then return `Input::Encoded`.
    Encode(PendingSnapshot),
    /// A line for the process's log.
    Log(String),
}
