use crate::PendingSnapshot;
use postbarrow_consensus::Write;
use postbarrow_messages::{Envelope, Message};
use std::net::SocketAddr;

pub enum Input {
    Tick,
    /// The process is to end: a controller hands over first.
    Stop,
    /// Other addresses that introduce this node.
    Seeds(Vec<SocketAddr>),
    Receive(Envelope),
    Synced(u64),
    Page(PageResult),
    /// A snapshot that was asked for by `Effect::Encode`.
    Encoded {
        index: u64,
        state: Vec<u8>,
    },
}

/// What became of one fetch from the platform's list.
pub struct PageResult {
    pub number: u64,
    pub fetched: Fetched,
}

pub enum Fetched {
    Page(Vec<u8>),
    /// A page that was read already.
    Listed(crate::ListPage),
    Limited {
        wait_ms: u64,
    },
    Failed(String),
}

#[derive(Debug)]
pub enum Effect {
    Send { to: SocketAddr, message: Message },
    Write { sequence: u64, write: Write },
    Fetch { number: u64, cursor: Option<String> },
    Encode(PendingSnapshot),
    Log(String),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Origin {
    pub to: SocketAddr,
    pub key: u64,
}
