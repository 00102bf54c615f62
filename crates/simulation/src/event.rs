//! The events of a world, and the processes that handle them.

use crate::client::pinned::PinnedRequest;
use crate::fault::Fault;
use postbarrow_controller::PageResult;
use postbarrow_messages::Envelope;
use postbarrow_node::Event as GoEvent;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessId {
    Control(usize),
    Data(usize),
}

pub enum Event {
    Tick {
        process: ProcessId,
        incarnation: u64,
    },
    Deliver {
        to: SocketAddr,
        envelope: Envelope,
    },
    Synced {
        at: usize,
        incarnation: u64,
    },
    ListRead {
        at: usize,
        incarnation: u64,
        number: u64,
        cursor: Option<String>,
    },
    Page {
        at: usize,
        incarnation: u64,
        result: PageResult,
    },
    Encoded {
        at: usize,
        incarnation: u64,
        index: u64,
        state: Vec<u8>,
    },
    Arrive {
        request: u64,
        data: usize,
        incarnation: u64,
    },
    /// A client closes its connection before its response.
    ClientDeparts {
        request: u64,
    },
    /// Its node observes that.
    DepartureObserved {
        request: u64,
        data: usize,
        incarnation: u64,
    },
    /// A client that departed sends the same request again, under its key.
    ClientReturns {
        request: u64,
    },
    /// A request's flow receives what it waited for.
    Resume {
        request: u64,
        data: usize,
        incarnation: u64,
        event: GoEvent,
    },
    Send {
        request: u64,
        data: usize,
        incarnation: u64,
        until_ms: u64,
    },
    Run {
        request: u64,
        data: usize,
        incarnation: u64,
        instance: String,
    },
    Probe {
        data: usize,
        incarnation: u64,
    },
    NextRequest,
    NextCall {
        caller: usize,
    },
    Operate,
    /// The pinned clients send their next request.
    SendPinned,
    /// A pinned client's request arrives at its control machine.
    PinnedArrives {
        at: usize,
        key: u64,
        requested_us: u64,
        request: PinnedRequest,
    },
    Fault(Fault),
    Wake(ProcessId),
    Start(ProcessId),
    /// Checks whether a process that shuts down has finished its work.
    Leave {
        process: ProcessId,
        incarnation: u64,
        since_us: u64,
    },
}
