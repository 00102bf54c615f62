//! Phase: forwards a request to its target, after the final check.

use super::request_state::RequestState;
use crate::balancing::LoadPermit;
use crate::dialect::target_headers;
use crate::target_connection::{OutgoingRequest, TargetConnection};
use postbarrow_downstream::memory_budget::Reservation;
use postbarrow_node::AttemptOutcome;
use postbarrow_state::Name;
use postbarrow_transport::clock_ms;

/// A request that was sent completely and whose response is not read yet.
pub struct Forwarded {
    /// The connection on which the request was sent.
    pub connection: TargetConnection,
    /// The request's count in the load of its target.
    pub load: LoadPermit,
    /// The memory reservation for the body of the response.
    pub memory: Reservation,
    /// The time by which the response must be complete, in milliseconds of the boot-time clock.
    pub until_ms: u64,
}

/// Sends the request to the connected target. Sending starts before `until_ms` of the boot-time
/// clock or not at all; the response must be complete within `wait_ms` milliseconds.
///
/// # Errors
/// Returns the outcome of the attempt if the request was not sent completely.
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

/// Returns the result of the final check, directly before the first byte is sent: the client has
/// not departed, the table in force still allows the target, `until_ms` has not passed (the ticket
/// is still valid), and the lease is valid. The lease is checked last.
fn may_send(request: &RequestState<'_>, instance: &Name, until_ms: u64) -> bool {
    !request.incoming.client.has_departed()
        && request.shared.routing.load().allows(&request.service, instance)
        && clock_ms() < until_ms
        && request.shared.lease.is_valid()
}
