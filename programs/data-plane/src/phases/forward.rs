//! Phase: forwards a request to its target, after the final check.

use super::request_state::RequestState;
use crate::balancing::LoadPermit;
use crate::dialect::target_headers;
use crate::target_connection::{OutgoingRequest, TargetConnection};
use postbarrow_downstream::memory_budget::Reservation;
use postbarrow_node::AttemptOutcome;
use postbarrow_state::Name;
use postbarrow_transport::clock_ms;

/// A request that was sent; its response is to be read.
pub struct Forwarded {
    /// The connection that it was sent on.
    pub connection: TargetConnection,
    /// Counts it at its target.
    pub load: LoadPermit,
    /// Covers the body of the response.
    pub memory: Reservation,
    /// Its response must be complete by then, in milliseconds of the boot-time clock.
    pub until_ms: u64,
}

/// Sends the request to the connected target. Its first byte is sent before `until_ms`, or none is;
/// its response must be complete within `wait_ms`.
///
/// # Errors
/// How the attempt ended.
pub fn forward(
    request: &mut RequestState<'_>,
    wait_ms: u64,
    until_ms: u64,
) -> Result<Forwarded, AttemptOutcome> {
    let attempt = &mut request.attempt;
    let (Some(mut connection), Some(target), Some(load)) =
        (attempt.connection.take(), attempt.target.clone(), attempt.load.take())
    else {
        return Err(AttemptOutcome::Unsent("no connection".into()));
    };
    let Some(memory) = request.shared.memory.response_bodies.reserve(0) else {
        return Err(AttemptOutcome::Unsent("no space".into()));
    };
    let (head, dialect) = (request.incoming.head, request.shared.dialect.as_ref());
    let outgoing = OutgoingRequest {
        method: &head.method,
        path: &head.target,
        headers: &target_headers(dialect, head, &target.instance, wait_ms),
        body: &request.incoming.body,
        until_ms: clock_ms() + wait_ms.max(1),
        repeatable: request.is_repeatable,
    };
    let may_send = || may_send(request, &target.instance, until_ms);
    match connection.send(&outgoing, &may_send, &request.cancellation()) {
        Ok(()) => Ok(Forwarded { connection, load, memory, until_ms: outgoing.until_ms }),
        Err(outcome) => {
            drop((connection, load));
            request.response_memory = Some(memory);
            Err(outcome)
        }
    }
}

/// The final check, right before the first byte: the client still waits, the target is still allowed,
/// the ticket still valid, and the lease is looked at last.
fn may_send(request: &RequestState<'_>, instance: &Name, until_ms: u64) -> bool {
    !request.incoming.client.has_departed()
        && request.shared.routing.load().allows(&request.service, instance)
        && clock_ms() < until_ms
        && request.shared.lease.is_valid()
}
