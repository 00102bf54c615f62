//! Control machines, each of which runs the production control node over a simulated disk and
//! network.

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

/// Time for which a retired control machine stays on the operators' list, in microseconds.
const OPERATORS_LIST_LAG_US: u64 = 3_000_000;

/// One control machine, whose disk outlives its processes.
pub struct ControlMachine {
    /// The address at which the machine receives frames.
    pub address: SocketAddr,
    /// The machine's disk.
    pub disk: SimDisk,
    /// The number of starts and ends of the machine's process, so that events of an earlier process
    /// are ignored.
    pub incarnation: u64,
    /// The machine's clock.
    pub(crate) clock: Clock,
    /// The running control node; `None` while the machine's process is down.
    pub node: Option<ControlNode>,
    /// The storage that the running process keeps on `disk`.
    pub(crate) storage: Option<Storage<SimDisk>>,
    /// Writes that wait for the disk, with their sequence numbers, oldest first.
    pub(crate) writes: VecDeque<(u64, Write)>,
    /// Whether a sync is in progress.
    pub(crate) syncing: bool,
    /// The true time at which the machine was retired, in microseconds, if it was: its process does
    /// not restart after a graceful shutdown.
    pub retired_us: Option<u64>,
    /// Whether the machine has no persistent disk, so that its node is never a member.
    pub observer: bool,
    /// Number of the oldest `writes` that the storage has accepted but not carried out because the
    /// disk is full.
    pub(crate) in_storage: usize,
    /// The targets in the node's committed state at the last check, to detect targets that were
    /// dropped.
    pub targets: OrdMap<Name, Arc<Target>>,
}

impl ControlMachine {
    /// Creates a machine with an empty disk and no running process.
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
    /// Returns whether the machine is on the operators' list at this true time; a retired machine
    /// leaves the list after a lag.
    pub fn is_listed(&self, now_us: u64) -> bool {
        self.retired_us.is_none_or(|retired_us| now_us < retired_us + OPERATORS_LIST_LAG_US)
    }

    /// Returns the writes that wait for the disk, oldest first.
    pub fn writes(&self) -> impl Iterator<Item = &Write> {
        self.writes.iter().map(|(_, write)| write)
    }
}
