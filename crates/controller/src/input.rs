//! Input events of a control node.

use crate::ListPage;
use postbarrow_messages::Envelope;
use std::net::SocketAddr;

/// One event for `ControlNode::handle`.
pub enum Input {
    /// A tick of the clock; the caller sends one every few milliseconds.
    Tick,
    /// The process is about to stop. A leader transfers its leadership first.
    Stop,
    /// The settings have new seed addresses, which replace the earlier ones.
    Seeds(Vec<SocketAddr>),
    /// A message arrived from another process.
    Receive(Envelope),
    /// All `Effect::Write`s up to this sequence number are durable.
    Synced(u64),
    /// The result of a fetch that `Effect::Fetch` requested.
    Page(PageResult),
    /// The encoded snapshot that `Effect::Encode` requested.
    Encoded {
        /// Log index of the snapshot: that of `PendingSnapshot::index`.
        index: u64,
        /// The encoded state, as `PendingSnapshot::encode` returned it.
        state: Vec<u8>,
    },
}

/// The result of one fetch of a page of the platform's endpoint list.
pub struct PageResult {
    /// Number of the `Effect::Fetch` that requested the page.
    pub number: u64,
    /// The page, or why there is none.
    pub fetched: Fetched,
}

/// The outcome of one fetch from the endpoint list.
pub enum Fetched {
    /// A page that was received but not parsed yet; `read_page` parses it.
    Page(Vec<u8>),
    /// A page that the caller has parsed already.
    Parsed(ListPage),
    /// The list refused the request because of its rate limit.
    RateLimited {
        /// Time to wait before the next request, as the list stated it, in milliseconds.
        wait_ms: u64,
    },
    /// The fetch failed. Contains the reason.
    Failed(String),
}
