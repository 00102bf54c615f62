//! What can happen next in a world, in the order of its time.

use crate::cling::Question;
use crate::fault::Fault;
use crate::world::World;
use postbarrow_controller::PageResult;
use postbarrow_messages::Envelope;
use postbarrow_node::Event as GoEvent;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Who {
    Control(usize),
    Data(usize),
}

pub enum Event {
    Tick {
        who: Who,
        life: u64,
    },
    Deliver {
        to: SocketAddr,
        envelope: Envelope,
    },
    Synced {
        at: usize,
        life: u64,
    },
    ListRead {
        at: usize,
        life: u64,
        number: u64,
        cursor: Option<String>,
    },
    Page {
        at: usize,
        life: u64,
        result: PageResult,
    },
    Encoded {
        at: usize,
        life: u64,
        index: u64,
        state: Vec<u8>,
    },
    Arrive {
        request: u64,
        data: usize,
        life: u64,
    },
    /// A client closes its connection before its answer.
    ClientLeaves {
        request: u64,
    },
    /// Its node sees that.
    SeesClientLeave {
        request: u64,
        data: usize,
        life: u64,
    },
    /// A client that left sends the same request again, under its key.
    ClientComesBack {
        request: u64,
    },
    /// A request goes on with what it waited for.
    Resume {
        request: u64,
        data: usize,
        life: u64,
        event: GoEvent,
    },
    Send {
        request: u64,
        data: usize,
        life: u64,
        until_ms: u64,
    },
    Run {
        request: u64,
        data: usize,
        life: u64,
        instance: String,
    },
    Probe {
        data: usize,
        life: u64,
    },
    NextRequest,
    NextCall {
        caller: usize,
    },
    Operate,
    /// Those who cling to one control machine ask the next thing.
    Cling,
    /// Their question arrives at its door.
    Door {
        at: usize,
        key: u64,
        asked_us: u64,
        question: Question,
    },
    Fault(Fault),
    Wake(Who),
    Start(Who),
    /// Looks whether a process that was asked to stop has nothing left to do.
    Leave {
        who: Who,
        life: u64,
        since_us: u64,
    },
}

impl World {
    /// The process that an event needs awake.
    pub fn whose(&self, event: &Event) -> Option<Who> {
        match event {
            Event::Tick { who, .. } => Some(*who),
            Event::Deliver { to, .. } => {
                let control = self.control.iter().position(|machine| machine.address == *to);
                let data = || self.data.iter().position(|machine| machine.address == *to);
                control.map(Who::Control).or_else(|| data().map(Who::Data))
            }
            Event::Synced { at, .. }
            | Event::Page { at, .. }
            | Event::Encoded { at, .. }
            | Event::Door { at, .. } => Some(Who::Control(*at)),
            Event::Arrive { data, .. }
            | Event::SeesClientLeave { data, .. }
            | Event::Resume { data, .. }
            | Event::Send { data, .. }
            | Event::Probe { data, .. } => Some(Who::Data(*data)),
            _ => None,
        }
    }
}
