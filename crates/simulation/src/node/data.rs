//! Data machines: each runs a real data node.

use crate::clock::Clock;
use crate::network::address;
use postbarrow_node::DataNode;
use postbarrow_routing::Table;
use postbarrow_state::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

#[derive(Clone, Copy, Debug)]
pub enum Waits {
    Request(u64),
    Caller { caller: usize, number: u64 },
    Nobody,
}

/// One data machine: nothing outlives its process.
pub struct DataMachine {
    pub address: SocketAddr,
    pub zone: Name,
    pub incarnation: u64,
    /// Its own clock.
    pub(crate) clock: Clock,
    pub node: Option<DataNode>,
    pub table: Arc<Table>,
    pub lease_until_ms: u64,
    /// When the platform last observed it ready.
    pub ready_us: u64,
    pub announced_incarnation: u64,
    pub number: u64,
    pub waits: BTreeMap<u64, Waits>,
    pub(crate) at: usize,
}

impl DataMachine {
    pub fn new(at: usize, clock: Clock) -> Self {
        DataMachine {
            address: address(2, at, 1),
            zone: Name::from(["a", "b", "c"][at % 3]),
            incarnation: 0,
            clock,
            node: None,
            table: Arc::new(Table::empty()),
            lease_until_ms: 0,
            ready_us: 0,
            announced_incarnation: 0,
            number: 0,
            waits: BTreeMap::new(),
            at,
        }
    }
}
