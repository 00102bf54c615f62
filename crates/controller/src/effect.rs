//! Actions that a control node requests from its caller.

use crate::PendingSnapshot;
use postbarrow_consensus::Write;
use postbarrow_messages::Message;
use std::net::SocketAddr;

/// One action for the caller of `ControlNode::handle`. Effects are carried out in the order in
/// which they are returned.
#[derive(Debug)]
pub enum Effect {
    /// Send a message.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message to send.
        message: Message,
    },
    /// Write to the disk, then return `Input::Synced`.
    Write {
        /// Sequence number that `Input::Synced` names once the write is durable.
        sequence: u64,
        /// The content of the write.
        write: Write,
    },
    /// Fetch a page of the endpoint list, then return `Input::Page`.
    Fetch {
        /// Number of the fetch, which `PageResult::number` repeats.
        number: u64,
        /// Cursor of the page; `None` for the first page.
        cursor: Option<String>,
    },
    /// Encode a snapshot outside the control loop, then return `Input::Encoded`.
    Encode(PendingSnapshot),
    /// Write a line to the process's log.
    Log(String),
}
