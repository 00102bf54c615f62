//! What can happen next in a world, in the order of its time.

use crate::fault::Fault;
use crate::pinned::PinnedRequest;
use crate::world::World;
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
    /// A client closes its connection before its answer.
    ClientDeparts {
        request: u64,
    },
    /// Its node sees that.
    DepartureObserved {
        request: u64,
        data: usize,
        incarnation: u64,
    },
    /// A client that left sends the same request again, under its key.
    ClientReturns {
        request: u64,
    },
    /// A request goes on with what it waited for.
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
    /// Those who cling to one control machine ask the next thing.
    SendPinned,
    /// Their question arrives at its door.
    PinnedArrives {
        at: usize,
        key: u64,
        requested_us: u64,
        request: PinnedRequest,
    },
    Fault(Fault),
    Wake(ProcessId),
    Start(ProcessId),
    /// Looks whether a process that was asked to stop has nothing left to do.
    Leave {
        process: ProcessId,
        incarnation: u64,
        since_us: u64,
    },
}

impl World {
    /// The process that an event needs awake.
    pub fn process_of(&self, event: &Event) -> Option<ProcessId> {
        match event {
            Event::Tick { process, .. } => Some(*process),
            Event::Deliver { to, .. } => {
                let control = self.control.iter().position(|machine| machine.address == *to);
                let data = || self.data.iter().position(|machine| machine.address == *to);
                control.map(ProcessId::Control).or_else(|| data().map(ProcessId::Data))
            }
            Event::Synced { at, .. }
            | Event::Page { at, .. }
            | Event::Encoded { at, .. }
            | Event::PinnedArrives { at, .. } => Some(ProcessId::Control(*at)),
            Event::Arrive { data, .. }
            | Event::DepartureObserved { data, .. }
            | Event::Resume { data, .. }
            | Event::Send { data, .. }
            | Event::Probe { data, .. } => Some(ProcessId::Data(*data)),
            _ => None,
        }
    }
}
