//! What is in flight at this node.

use postbarrow_constants::traffic::CLIENT_BUCKETS;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::sync::atomic::AtomicUsize;

/// The counters that admission decides by.
#[derive(Default)]
pub struct AdmissionCounters {
    /// Client requests in flight.
    pub requests: AtomicUsize,
    /// Client requests in flight by client.
    pub requests_by_client: ClientCounters,
    /// Coordination calls in flight.
    pub calls: AtomicUsize,
    /// Watches in flight.
    pub watches: AtomicUsize,
    /// Client connections.
    pub connections: AtomicUsize,
    /// Client connections by client.
    pub connections_by_client: ClientCounters,
}

/// A count for each client address; addresses that hash to one bucket share its count.
pub struct ClientCounters(Vec<AtomicUsize>);

impl Default for ClientCounters {
    fn default() -> Self {
        ClientCounters((0..CLIENT_BUCKETS).map(|_| AtomicUsize::new(0)).collect())
    }
}

impl ClientCounters {
    /// The count of a client's bucket.
    pub fn of(&self, client: IpAddr) -> &AtomicUsize {
        let mut hash = DefaultHasher::new();
        client.hash(&mut hash);
        &self.0[hash.finish() as usize % self.0.len()]
    }
}
