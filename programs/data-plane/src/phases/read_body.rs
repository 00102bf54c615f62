//! Phase: reads the body of a request, within the size limit of its route and the node's memory
//! budget.

use super::match_route::MatchedRoute;
use super::rejection::Rejection;
use crate::shared::Shared;
use postbarrow_constants::traffic::BODY_WAIT_MS;
use postbarrow_downstream::body::{self, Body};
use postbarrow_downstream::connection::Connection;
use postbarrow_downstream::head::{BodyFraming, Head, Reject};
use postbarrow_node::RequestOutcome;
use postbarrow_transport::clock_ms;

/// Reads the body of a request that matched a route.
///
/// # Errors
/// Rejects the request if its body is too large, malformed or late, or if the node has no memory
/// for it.
pub fn read_route_body(
    connection: &mut Connection,
    shared: &Shared,
    head: &Head,
    route: &MatchedRoute,
    arrived_ms: u64,
) -> Result<Body, Rejection> {
    let max_bytes = route.entry.route().body_bytes;
    let until_ms = until_ms(shared, head, arrived_ms);
    read(connection, shared, head, max_bytes, until_ms).map_err(|reject| {
        let outcome = if reject == body::TOO_LARGE {
            RequestOutcome::BodyTooLarge(max_bytes)
        } else if reject == body::OUT_OF_MEMORY {
            RequestOutcome::Overloaded
        } else {
            return unreadable(shared, head, reject);
        };
        Rejection::decided(shared, route.evidence, outcome)
    })
}

/// Reads the body of a request to an endpoint of the node itself.
///
/// # Errors
/// Rejects the request if its body is too large, malformed or late, or if the node has no memory
/// for it.
pub fn read_node_body(
    connection: &mut Connection,
    shared: &Shared,
    head: &Head,
    max_bytes: u64,
) -> Result<Body, Rejection> {
    let until_ms = clock_ms() + BODY_WAIT_MS;
    read(connection, shared, head, max_bytes, until_ms)
        .map_err(|reject| unreadable(shared, head, reject))
}

/// Returns the time by which the body must be complete, in milliseconds of the boot-time clock:
/// after `BODY_WAIT_MS`, or earlier if the client states that it waits a shorter time, since it
/// needs no response after that.
fn until_ms(shared: &Shared, head: &Head, arrived_ms: u64) -> u64 {
    let wait_ms = shared.dialect.client_timeout_ms(head).unwrap_or(BODY_WAIT_MS);
    arrived_ms + wait_ms.min(BODY_WAIT_MS)
}

/// Returns the rejection of a request with an incomplete or invalid body. With an idempotency key,
/// an earlier request may have run.
fn unreadable(shared: &Shared, head: &Head, reject: Reject) -> Rejection {
    let may_have_run_before = shared.dialect.idempotency_key(head).is_some();
    Rejection::Unreadable { reject, may_have_run_before }
}

/// Checks a stated length against `max_bytes`, sends `100 Continue` to a client that expects it,
/// and reads the body.
fn read(
    connection: &mut Connection,
    shared: &Shared,
    head: &Head,
    max_bytes: u64,
    until_ms: u64,
) -> Result<Body, Reject> {
    if matches!(head.framing, BodyFraming::Sized(size_bytes) if size_bytes > max_bytes) {
        return Err(body::TOO_LARGE);
    }
    if head.expects_continue && connection.send_continue().is_err() {
        return Err(body::CLIENT_DEPARTED);
    }
    body::read(connection, head.framing, max_bytes, &shared.memory.request_bodies, until_ms)
}
