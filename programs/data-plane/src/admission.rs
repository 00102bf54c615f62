//! Admission control for client connections, requests and coordination calls.
//!
//! While at most half of the capacity is in use, shares are not enforced. Beyond that, a request or
//! connection that exceeds its client's or route's share is shed, so that the remaining capacity
//! stays available to other clients and routes.

use crate::shared::AdmissionCounters;
use postbarrow_constants::traffic::*;
use postbarrow_routing::{Entry, LimitExceeded};
use postbarrow_transport::clock_ms;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::*};

/// One unit of a counter, released when dropped.
pub struct Permit<'a>(&'a AtomicUsize);

impl<'a> Permit<'a> {
    /// Increments the counter without a limit.
    pub fn acquire(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Relaxed);
        Permit(count)
    }

    /// Increments the counter if it is below `max`; otherwise returns `None`.
    pub fn acquire_below(count: &'a AtomicUsize, max: usize) -> Option<Self> {
        let before =
            count.fetch_update(Relaxed, Relaxed, |count| (count < max).then_some(count + 1));
        before.ok().map(|_| Permit(count))
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

/// One request counted by the limits of its route, released when dropped.
struct RoutePermit(Arc<Entry>);

impl RoutePermit {
    fn acquire(entry: &Arc<Entry>, nodes: u64) -> Result<RoutePermit, LimitExceeded> {
        entry.compiled.limits.try_acquire(clock_ms(), nodes)?;
        Ok(RoutePermit(entry.clone()))
    }
}

impl Drop for RoutePermit {
    fn drop(&mut self) {
        self.0.compiled.limits.release();
    }
}

/// The limit for which a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// The node has no capacity left, or the client or route exceeds its share; the request is
    /// shed.
    Overloaded,
    /// The route's limit of requests per second is exceeded.
    OverRate,
    /// The route's limit of requests in flight is exceeded.
    OverConcurrency,
}

/// The permits of an admitted request, released in the order of the fields when dropped.
pub struct RequestPermits<'a> {
    _route: RoutePermit,
    _client: Permit<'a>,
    _node: Permit<'a>,
}

/// Admits a request if the node has capacity, neither the client nor the route exceeds its share,
/// and the route's limits allow it. `nodes` is the number of nodes among which the route's limits
/// are divided.
///
/// # Errors
/// Returns the limit that is exceeded.
pub fn admit_request<'a>(
    counters: &'a AdmissionCounters,
    client: IpAddr,
    entry: &Arc<Entry>,
    nodes: u64,
) -> Result<RequestPermits<'a>, Rejected> {
    let node = Permit::acquire_below(&counters.requests, REQUESTS_IN_FLIGHT);
    let node = node.ok_or(Rejected::Overloaded)?;
    let client = counters.requests_by_client.for_client(client);
    let in_flight = counters.requests.load(Relaxed);
    let (client_requests, route_requests) =
        (client.load(Relaxed), entry.compiled.limits.in_flight() as usize);
    if is_over_share(in_flight, client_requests + 1, REQUESTS_IN_FLIGHT, CLIENT_SHARE_PERCENT)
        || is_over_share(in_flight, route_requests + 1, REQUESTS_IN_FLIGHT, ROUTE_SHARE_PERCENT)
    {
        return Err(Rejected::Overloaded);
    }
    let client = Permit::acquire(client);
    match RoutePermit::acquire(entry, nodes) {
        Ok(route) => Ok(RequestPermits { _route: route, _client: client, _node: node }),
        Err(LimitExceeded::Rate) => Err(Rejected::OverRate),
        Err(LimitExceeded::Concurrency) => Err(Rejected::OverConcurrency),
    }
}

/// Counts a new client connection and returns whether it is admitted: the node must be below its
/// limit and the client within its share. The caller must release an admitted connection with
/// [`release_connection`]; a connection that is not admitted is no longer counted on return.
pub fn admit_connection(counters: &AdmissionCounters, client: IpAddr) -> bool {
    let previous = counters.connections.fetch_add(1, SeqCst);
    let client_connections = counters.connections_by_client.for_client(client).load(SeqCst) + 1;
    let is_admitted = previous < DOWNSTREAM_CONNECTIONS_MAX
        && !is_over_share(
            previous,
            client_connections,
            DOWNSTREAM_CONNECTIONS_MAX,
            CLIENT_SHARE_PERCENT,
        );
    if !is_admitted {
        release_connection(counters);
    }
    is_admitted
}

/// Subtracts one connection from the node's count of client connections.
pub fn release_connection(counters: &AdmissionCounters) {
    counters.connections.fetch_sub(1, SeqCst);
}

/// Returns whether a client or route that uses `own` exceeds its share, which is `share_percent` of
/// `max`. A share is enforced only while more than half of `max` is in use.
pub fn is_over_share(in_use: usize, own: usize, max: usize, share_percent: usize) -> bool {
    in_use * 2 > max && own * 100 > max * share_percent
}
