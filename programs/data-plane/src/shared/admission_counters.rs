//! Counters of connections, requests, calls and watches at this node.

use postbarrow_constants::traffic::CLIENT_BUCKETS;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::sync::atomic::AtomicUsize;

/// The counters by which admission is decided.
#[derive(Default)]
pub struct AdmissionCounters {
    /// Client requests in flight, over all clients.
    pub requests: AtomicUsize,
    /// Client requests in flight for each client address.
    pub requests_by_client: ClientCounters,
    /// Coordination calls in flight, other than watches.
    pub calls: AtomicUsize,
    /// Watches in flight.
    pub watches: AtomicUsize,
    /// Open client connections, over all clients.
    pub connections: AtomicUsize,
    /// Open client connections for each client address.
    pub connections_by_client: ClientCounters,
}

/// Counters by client address; addresses that hash to the same bucket share one counter.
pub struct ClientCounters(Vec<AtomicUsize>);

impl Default for ClientCounters {
    fn default() -> Self {
        ClientCounters((0..CLIENT_BUCKETS).map(|_| AtomicUsize::new(0)).collect())
    }
}

impl ClientCounters {
    /// Returns the counter of the bucket that a client's address hashes to.
    pub fn for_client(&self, client: IpAddr) -> &AtomicUsize {
        let mut hash = DefaultHasher::new();
        client.hash(&mut hash);
        &self.0[hash.finish() as usize % self.0.len()]
    }
}
