//! The events of a world, and the processes that handle them.

use crate::client::pinned::PinnedRequest;
use crate::fault::Fault;
use postbarrow_controller::PageResult;
use postbarrow_messages::Envelope;
use postbarrow_node::Event as FlowEvent;
use std::net::SocketAddr;

/// A process of the cluster, by the index of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessId {
    /// A control process.
    Control(usize),
    /// A data process.
    Data(usize),
}

/// What can happen next. An event of an earlier `incarnation` of its process is ignored.
pub enum Event {
    /// A process's control loop ticks.
    Tick { process: ProcessId, incarnation: u64 },
    /// A frame arrives.
    Deliver { to: SocketAddr, envelope: Envelope },
    /// A control machine's sync ends.
    Synced { at: usize, incarnation: u64 },
    /// A page of the endpoint list is read.
    ListRead { at: usize, incarnation: u64, number: u64, cursor: Option<String> },
    /// A page arrives at a control node.
    Page { at: usize, incarnation: u64, result: PageResult },
    /// A snapshot is encoded.
    Encoded { at: usize, incarnation: u64, index: u64, state: Vec<u8> },
    /// A client's request arrives at a data node.
    Arrive { request: u64, data: usize, incarnation: u64 },
    /// A client closes its connection before its response.
    ClientDeparts { request: u64 },
    /// Its node observes that.
    DepartureObserved { request: u64, data: usize, incarnation: u64 },
    /// A client that departed sends the same request again, under its key.
    ClientReturns { request: u64 },
    /// A request's flow receives what it waited for.
    Resume { request: u64, data: usize, incarnation: u64, event: FlowEvent },
    /// A data node sends a request's bytes, after a last check.
    Send { request: u64, data: usize, incarnation: u64, until_ms: u64 },
    /// A request's bytes reach a target.
    Run { request: u64, data: usize, incarnation: u64, instance: String },
    /// A data node probes its targets.
    Probe { data: usize, incarnation: u64 },
    /// A client sends the next request.
    NextRequest,
    /// A caller sends its next call.
    NextCall { caller: usize },
    /// The operators drive their requests.
    Operate,
    /// The pinned clients send their next request.
    SendPinned,
    /// A pinned client's request arrives at its control machine.
    PinnedArrives { at: usize, key: u64, requested_us: u64, request: PinnedRequest },
    /// A fault is injected.
    Fault(Fault),
    /// A frozen process wakes.
    Wake(ProcessId),
    /// A process that is down starts.
    Start(ProcessId),
    /// Checks whether a process that shuts down has finished its work.
    CheckShutdown { process: ProcessId, incarnation: u64, since_us: u64 },
}
