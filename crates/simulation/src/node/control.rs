//! Control machines: each runs a real control node over a simulated disk and network.

use crate::clock::Clock;
use crate::disk::SimDisk;
use imbl::OrdMap;
use postbarrow_consensus::Write;
use postbarrow_controller::ControlNode;
use postbarrow_state::{Name, Target};
use postbarrow_storage::Storage;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

/// How old the operators' list of control machines is.
const OPERATORS_LIST_LAG_US: u64 = 3_000_000;

/// One control machine: its disk outlives its processes.
pub struct ControlMachine {
    /// Its address.
    pub address: SocketAddr,
    /// Its disk, which outlives its processes.
    pub disk: SimDisk,
    /// Counts starts and ends, so that events of an earlier process are ignored.
    pub incarnation: u64,
    /// Its own clock.
    pub(crate) clock: Clock,
    /// The running control node; `None` while its process is down.
    pub node: Option<ControlNode>,
    pub(crate) storage: Option<Storage<SimDisk>>,
    pub(crate) writes: VecDeque<(u64, Write)>,
    pub(crate) syncing: bool,
    /// When it was retired: its process does not start again once it has ended.
    pub retired_us: Option<u64>,
    /// It has no lasting disk, so it is never a member.
    pub observer: bool,
    /// How many of the writes the storage has accepted and not yet carried out, since its disk is
    /// full.
    pub(crate) in_storage: usize,
    /// Targets as last committed here, to find those that were dropped.
    pub targets: OrdMap<Name, Arc<Target>>,
}

impl ControlMachine {
    /// A machine with an empty disk whose process has not started.
    pub fn new(address: SocketAddr, clock: Clock) -> Self {
        ControlMachine {
            address,
            disk: SimDisk::default(),
            incarnation: 0,
            clock,
            node: None,
            storage: None,
            writes: VecDeque::new(),
            syncing: false,
            retired_us: None,
            observer: false,
            in_storage: 0,
            targets: OrdMap::new(),
        }
    }
}

impl ControlMachine {
    /// Whether operators find it on their list, which shows a retirement only after a lag.
    pub fn is_listed(&self, now_us: u64) -> bool {
        self.retired_us.is_none_or(|retired_us| now_us < retired_us + OPERATORS_LIST_LAG_US)
    }

    /// Writes that wait for the disk, oldest first.
    pub fn writes(&self) -> impl Iterator<Item = &Write> {
        self.writes.iter().map(|(_, write)| write)
    }
}
