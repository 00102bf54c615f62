//! What a control node reacts to.

use crate::ListPage;
use postbarrow_messages::Envelope;
use std::net::SocketAddr;

/// One event for a control node.
pub enum Input {
    /// A moment has passed; sent every few milliseconds.
    Tick,
    /// The process is to end: a leader transfers its leadership first.
    Stop,
    /// Other addresses that introduce this node.
    Seeds(Vec<SocketAddr>),
    /// A message has arrived.
    Receive(Envelope),
    /// All writes up to this sequence number are durable.
    Synced(u64),
    /// A fetch that `Effect::Fetch` requested has ended.
    Page(PageResult),
    /// A snapshot that `Effect::Encode` requested.
    Encoded {
        /// The log index of the snapshot.
        index: u64,
        /// Its bytes.
        state: Vec<u8>,
    },
}

/// The result of one fetch from the platform's endpoint list.
pub struct PageResult {
    /// The number of the `Effect::Fetch`.
    pub number: u64,
    /// What was fetched.
    pub fetched: Fetched,
}

/// What one fetch from the endpoint list returned.
pub enum Fetched {
    /// The bytes of a page, to be read by `read_page`.
    Page(Vec<u8>),
    /// A page that was read already.
    Listed(ListPage),
    /// The list refused for its rate limit.
    Limited {
        /// How long the list wants no request, in milliseconds.
        wait_ms: u64,
    },
    /// No page, and the reason.
    Failed(String),
}
