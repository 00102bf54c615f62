//! The decision whether a connection, a request or a call may enter.
//!
//! While capacity is plenty anybody may use it. Once half is in use, no client and no route may have
//! more than its share: what exceeds it is shed, so that the rest remains for others.

use crate::shared::AdmissionCounters;
use postbarrow_constants::traffic::*;
use postbarrow_routing::{Entry, LimitExceeded};
use postbarrow_transport::clock_ms;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::*};

/// A counted admission, given back when dropped.
pub struct Permit<'a>(&'a AtomicUsize);

impl<'a> Permit<'a> {
    /// Counts one more, whatever the count.
    pub fn acquire(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Relaxed);
        Permit(count)
    }

    /// Counts one more if the count is below `max`.
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

/// A route's counted admission, given back when dropped.
struct RoutePermit(Arc<Entry>);

impl RoutePermit {
    fn acquire(entry: &Arc<Entry>, nodes: u64) -> Result<RoutePermit, LimitExceeded> {
        entry.compiled.limits.enter(clock_ms(), nodes)?;
        Ok(RoutePermit(entry.clone()))
    }
}

impl Drop for RoutePermit {
    fn drop(&mut self) {
        self.0.compiled.limits.leave();
    }
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// The node has no capacity, or the client or route exceeds its share: the request is shed.
    Overloaded,
    /// The route's requests a second are exceeded.
    OverRate,
    /// The route's requests in flight are exceeded.
    OverConcurrency,
}

/// The permits of an admitted request; the fields are given back in this order.
pub struct RequestPermits<'a> {
    _route: RoutePermit,
    _client: Permit<'a>,
    _node: Permit<'a>,
}

/// Decides by the node's capacity, the client's and the route's share, and the route's limits.
///
/// # Errors
/// Which limit is exceeded.
pub fn admit_request<'a>(
    counters: &'a AdmissionCounters,
    client: IpAddr,
    entry: &Arc<Entry>,
    nodes: u64,
) -> Result<RequestPermits<'a>, Rejected> {
    let node = Permit::acquire_below(&counters.requests, REQUESTS_IN_FLIGHT);
    let node = node.ok_or(Rejected::Overloaded)?;
    let client = counters.requests_by_client.of(client);
    let in_flight = counters.requests.load(Relaxed);
    let (of_client, of_route) = (client.load(Relaxed), entry.compiled.limits.in_flight() as usize);
    if is_over_share(in_flight, of_client + 1, REQUESTS_IN_FLIGHT, CLIENT_SHARE_PERCENT)
        || is_over_share(in_flight, of_route + 1, REQUESTS_IN_FLIGHT, ROUTE_SHARE_PERCENT)
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

/// Counts a new client connection, unless the node or the client has too many; an admitted one is
/// given back by [`release_connection`].
pub fn admit_connection(counters: &AdmissionCounters, client: IpAddr) -> bool {
    let others = counters.connections.fetch_add(1, SeqCst);
    let of_client = counters.connections_by_client.of(client).load(SeqCst) + 1;
    let is_admitted = others < DOWNSTREAMS
        && !is_over_share(others, of_client, DOWNSTREAMS, CLIENT_SHARE_PERCENT);
    if !is_admitted {
        release_connection(counters);
    }
    is_admitted
}

/// Gives back the count of one client connection.
pub fn release_connection(counters: &AdmissionCounters) {
    counters.connections.fetch_sub(1, SeqCst);
}

/// Whether one of many exceeds its share, `share_percent` of `max`, while more than half is in use.
pub fn is_over_share(in_use: usize, own: usize, max: usize, share_percent: usize) -> bool {
    in_use * 2 > max && own * 100 > max * share_percent
}
