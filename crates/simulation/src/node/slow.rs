//! A control machine on a slow link and a slow disk.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The rates of a control machine on a slow link and a slow disk.
pub struct SlowMachine {
    /// The index of the control machine.
    pub at: usize,
    /// Throughput of each direction of each link of the machine, in bytes per second.
    pub link_bytes: u64,
    /// Throughput of the machine's disk, in bytes per second.
    pub disk_bytes: u64,
    /// Factor by which a sync takes longer than on other machines, besides the time for its bytes.
    pub sync_factor: u64,
    /// The true time at which each link is free again, in microseconds, by sender and receiver.
    pub(crate) link_free_us: BTreeMap<(SocketAddr, SocketAddr), u64>,
}

impl SlowMachine {
    /// Creates a description of control machine `at` with these rates in bytes per second and this
    /// factor for its syncs.
    pub fn new(at: usize, link_bytes: u64, disk_bytes: u64, sync_factor: u64) -> Self {
        SlowMachine { at, link_bytes, disk_bytes, sync_factor, link_free_us: BTreeMap::new() }
    }
}
