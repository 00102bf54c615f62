//! Data machines, each of which runs the production data node.

use crate::clock::Clock;
use crate::network::address;
use postbarrow_node::DataNode;
use postbarrow_routing::Table;
use postbarrow_state::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The recipient of a response from the controller.
#[derive(Clone, Copy, Debug)]
pub enum ResponseRecipient {
    /// The flow of the client's attempt of this number.
    Request(u64),
    /// The call of this number, which an application (a caller) has made.
    Caller { caller: usize, number: u64 },
    /// No recipient: the response is discarded.
    None,
}

/// One data machine, which keeps nothing on disk.
pub struct DataMachine {
    /// The address at which the machine receives frames.
    pub address: SocketAddr,
    /// The zone in which the machine runs.
    pub zone: Name,
    /// The number of starts and ends of the machine's process, so that events of an earlier process
    /// are ignored.
    pub incarnation: u64,
    /// The machine's clock.
    pub(crate) clock: Clock,
    /// The running data node; `None` while the machine's process is down.
    pub node: Option<DataNode>,
    /// The routing table that the node published last; empty after a start.
    pub table: Arc<Table>,
    /// The time at which the node's lease expires, in milliseconds of the machine's clock.
    pub lease_until_ms: u64,
    /// The true time at which the node was last observed ready, in microseconds.
    pub ready_us: u64,
    /// The random incarnation that the process announces to the controller; `incarnation` counts
    /// starts and ends instead.
    pub announced_incarnation: u64,
    /// A counter that numbers the node's requests to the controller, clients' requests and the
    /// steps of their flows; its newest value.
    pub number: u64,
    /// The recipients of pending responses, by the key of the request to the controller.
    pub response_recipients: BTreeMap<u64, ResponseRecipient>,
    /// The machine's index.
    pub(crate) at: usize,
}

impl DataMachine {
    /// Creates the machine of index `at` without a running process.
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
            response_recipients: BTreeMap::new(),
            at,
        }
    }
}
