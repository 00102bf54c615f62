//! Data machines: each runs a real data node.

use crate::clock::Clock;
use crate::network::address;
use postbarrow_node::DataNode;
use postbarrow_routing::Table;
use postbarrow_state::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Who waits for a response of the controller.
#[derive(Clone, Copy, Debug)]
pub enum Waits {
    /// A client's request.
    Request(u64),
    /// A caller's call of this number.
    Caller { caller: usize, number: u64 },
    /// Nobody.
    Nobody,
}

/// One data machine: nothing outlives its process.
pub struct DataMachine {
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Name,
    /// Counts starts and ends, so that events of an earlier process are ignored.
    pub incarnation: u64,
    /// Its own clock.
    pub(crate) clock: Clock,
    /// The running data node; `None` while its process is down.
    pub node: Option<DataNode>,
    /// The routing table that it published last.
    pub table: Arc<Table>,
    /// When its lease expires, by its own clock.
    pub lease_until_ms: u64,
    /// When the platform last observed it ready.
    pub ready_us: u64,
    /// The random incarnation that its process announces to the controller.
    pub announced_incarnation: u64,
    /// Counts the process's keys.
    pub number: u64,
    /// Who waits for which response, by the request's key.
    pub waits: BTreeMap<u64, Waits>,
    pub(crate) at: usize,
}

impl DataMachine {
    /// Machine number `at`, whose process has not started.
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
