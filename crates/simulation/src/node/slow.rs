//! A control machine on a slow link and a slow disk.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A control machine on a slow link and disk.
pub struct SlowMachine {
    /// The control machine's index.
    pub at: usize,
    /// Bytes a second on its links.
    pub link_bytes: u64,
    /// Bytes a second of its disk.
    pub disk_bytes: u64,
    /// Factor by which a sync takes longer.
    pub sync_factor: u64,
    /// When each direction of each of its links is free, in microseconds.
    pub(crate) free_us: BTreeMap<(SocketAddr, SocketAddr), u64>,
}

impl SlowMachine {
    /// Control machine `at` with these rates in bytes a second, and this factor for its syncs.
    pub fn new(at: usize, link_bytes: u64, disk_bytes: u64, sync_factor: u64) -> Self {
        SlowMachine { at, link_bytes, disk_bytes, sync_factor, free_us: BTreeMap::new() }
    }
}
