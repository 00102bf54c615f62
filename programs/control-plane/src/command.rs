//! What the threads of a control node send its control loop, and what the loop has fetched.

use postbarrow_controller::PageResult;
use postbarrow_messages::{Envelope, Request, Response};
use postbarrow_storage::WriteError;
use std::net::SocketAddr;
use std::sync::mpsc::{Sender, SyncSender};

/// One entry of the control loop's queue.
pub enum Command {
    /// A message of another process.
    Envelope(Envelope),
    /// All writes up to this sequence number are on disk.
    Synced(u64),
    /// A write failed for another reason than a full disk; nothing may be acknowledged after it.
    DiskFailed(WriteError),
    /// A page of the endpoint list, or why there is none.
    Page(PageResult),
    /// A snapshot that was encoded beside the control loop.
    Encoded {
        /// The last log index that the snapshot covers.
        index: u64,
        /// The encoded state.
        state: Vec<u8>,
    },
    /// A request to the controller.
    Request {
        /// Drawn from the process's `RequestKeys`.
        key: u64,
        /// What is requested.
        request: Request,
        /// After so many milliseconds the response is `TimedOut`.
        wait_ms: u64,
        /// Where the response goes.
        reply: SyncSender<Response>,
    },
    /// The client of this request departed, so its response has no receiver.
    Withdraw {
        /// The key of the request.
        key: u64,
    },
    /// Addresses that may lead to other members.
    Seeds(Vec<SocketAddr>),
    /// Transfers leadership and gives up the seat; the sender is notified when the process may end.
    Stop(Sender<()>),
}

/// A page of the endpoint list that the controller needs.
pub struct PageRequest {
    /// Returned with the page.
    pub number: u64,
    /// Where the page starts; none for the first one.
    pub cursor: Option<String>,
}
