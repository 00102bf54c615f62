//! The commands that a control node's threads send to its control loop, and the loop's requests for
//! pages of the endpoint list.

use postbarrow_controller::PageResult;
use postbarrow_messages::{Envelope, Request, Response};
use postbarrow_storage::WriteError;
use std::net::SocketAddr;
use std::sync::mpsc::{Sender, SyncSender};

/// An entry of the control loop's queue.
pub enum Command {
    /// A message from another process.
    Envelope(Envelope),
    /// All writes up to this sequence number are on disk.
    Synced(u64),
    /// A write failed for a reason other than a full disk; nothing may be acknowledged after it.
    DiskFailed(WriteError),
    /// The result of a [`PageRequest`].
    Page(PageResult),
    /// A snapshot that was encoded on a thread of its own.
    Encoded {
        /// The last log index that the snapshot covers.
        index: u64,
        /// The encoded state.
        state: Vec<u8>,
    },
    /// A request to the controller.
    Request {
        /// The key by which the response names its request, drawn from the process's `RequestKeys`.
        key: u64,
        /// The request that the controller executes.
        request: Request,
        /// Milliseconds after which the response is `TimedOut`.
        wait_ms: u64,
        /// The channel on which the client's thread waits for the response.
        reply: SyncSender<Response>,
    },
    /// The client of a request has departed, so the response has no receiver.
    Withdraw {
        /// The key of the withdrawn request.
        key: u64,
    },
    /// The seeds: addresses of processes through which other members can be found. They replace the
    /// previous ones.
    Seeds(Vec<SocketAddr>),
    /// Starts the graceful shutdown, in which this member transfers its leadership and its voter
    /// seat. The sender is notified when the process may exit.
    Stop(Sender<()>),
}

/// A request to fetch a page of the endpoint list.
pub struct PageRequest {
    /// The number of the request, which its result repeats.
    pub number: u64,
    /// The cursor at which the page starts; none for the first page.
    pub cursor: Option<String>,
}
