//! The events of a world, and the processes that handle them.

use crate::client::calls::CallArrival;
use crate::client::pinned::PinnedRequest;
use crate::fault::Fault;
use postbarrow_controller::PageResult;
use postbarrow_messages::Envelope;
use postbarrow_node::Event as FlowEvent;
use std::net::SocketAddr;

/// A process of the cluster, identified by the index of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessId {
    /// The process of the control machine of this index.
    Control(usize),
    /// The process of the data machine of this index.
    Data(usize),
}

/// A scheduled event. An event with an `incarnation` is ignored if that incarnation of its process
/// has ended. A field `at` is the index of a control machine, `data` that of a data machine, and
/// `request` the number of a client's attempt.
pub enum Event {
    /// The event loop of a process ticks.
    Tick { process: ProcessId, incarnation: u64 },
    /// A frame arrives at the address `to`.
    Deliver { to: SocketAddr, envelope: Envelope },
    /// A sync of a control machine's disk ends.
    Synced { at: usize, incarnation: u64 },
    /// The endpoint list reads the page of this cursor, for the fetch of this number.
    ListRead { at: usize, incarnation: u64, number: u64, cursor: Option<String> },
    /// The result of a fetch of one page arrives at a control node.
    Page { at: usize, incarnation: u64, result: PageResult },
    /// A control node's snapshot up to this log index has been encoded.
    Encoded { at: usize, incarnation: u64, index: u64, state: Vec<u8> },
    /// An attempt of a client's request arrives at a data node.
    Arrive { request: u64, data: usize, incarnation: u64 },
    /// A client closes its connection before the response arrives.
    ClientDeparts { request: u64 },
    /// A data node observes that the client of an attempt has closed its connection.
    DepartureObserved { request: u64, data: usize, incarnation: u64 },
    /// A client that departed sends its request again, with the same idempotency key.
    ClientReturns { request: u64 },
    /// The flow of a request receives the event that it waited for.
    Resume { request: u64, data: usize, incarnation: u64, event: FlowEvent },
    /// A data node sends a request's bytes to the target, if a last check allows it before
    /// `until_ms` by the node's clock.
    Send { request: u64, data: usize, incarnation: u64, until_ms: u64 },
    /// The bytes of a request reach the target of this instance.
    Run { request: u64, data: usize, incarnation: u64, instance: String },
    /// A data node probes its targets.
    Probe { data: usize, incarnation: u64 },
    /// A client sends the next new request.
    NextRequest,
    /// A caller sends its next call.
    NextCall { caller: usize },
    /// A caller's call is read by the data node that it was sent to. A node that does not notice
    /// that the caller has departed sends the call all the same: the caller departs directly after
    /// the node's check.
    CallArrives { call: CallArrival, data: usize, incarnation: u64 },
    /// The operators handle timeouts of their requests and may submit a plan.
    OperatorsTick,
    /// The pinned clients send their next request.
    SendPinned,
    /// A pinned client's request arrives at its control machine.
    PinnedArrives { at: usize, key: u64, requested_us: u64, request: PinnedRequest },
    /// This fault is injected.
    Fault(Fault),
    /// A process freezes for 0.5 to 5 s, at a step of a release whose caller has departed.
    FreezeDuringRelease(ProcessId),
    /// A frozen process wakes.
    Wake(ProcessId),
    /// A process starts, unless it runs.
    Start(ProcessId),
    /// A check is due whether a process, which has been shutting down since `since_us`, has
    /// finished its work.
    CheckShutdown { process: ProcessId, incarnation: u64, since_us: u64 },
}
