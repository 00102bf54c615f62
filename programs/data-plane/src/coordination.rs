//! Coordination calls of applications on locks, numbers, keys and watches, forwarded to the
//! controller.

pub(crate) mod read_call;
mod render;

use crate::admission::Permit;
use crate::json_response::error;
use crate::shared::Shared;
use postbarrow_constants::coordination::*;
use postbarrow_constants::traffic::CALLS_IN_FLIGHT;
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::head::Head;
use postbarrow_messages::{Request, Response};
use postbarrow_node::TargetResponse;
use postbarrow_state::{Call, Name, Outcome};
use postbarrow_transport::clock_ms;
use read_call::read_call;
use render::render_outcome;
use sha2::{Digest, Sha256};

/// Largest body of a coordination call, in bytes: a key's value with every byte escaped, and the
/// surrounding JSON.
pub const BODY_BYTES: u64 = 6 * VALUE_BYTES as u64 + 4_096;

/// Serves a coordination call. If the client departs, its request to the controller is withdrawn
/// and its permit released.
pub fn serve(shared: &Shared, head: &Head, body: &[u8], client: &ClientWatch) -> TargetResponse {
    let call = match read_call(head, body) {
        Ok(call) => call,
        Err(invalid) => return error(invalid.status(), &invalid.to_string()),
    };
    if matches!(call, Call::Watch { .. }) {
        let Some(_permit) = Permit::acquire_below(&shared.admission.watches, WATCHES_MAX) else {
            return error(503, "too many watches at this node");
        };
        return watch(shared, call, client);
    }
    let Some(_permit) = Permit::acquire_below(&shared.admission.calls, CALLS_IN_FLIGHT) else {
        return error(503, "this node is full");
    };
    let client_key = head.header("idempotency-key");
    if client_key.is_some_and(|key| key.len() > TICKET_KEY_BYTES) {
        return error(400, "the Idempotency-Key is too long");
    }
    let key = client_key.map_or_else(|| shared.keys.synthesize_key(), Name::from);
    let is_read = call.is_read();
    let request = Request::Call { id: Some(repeat_id(&key, &call)), call };
    match shared.control_loop.request(request, CONTROLLER_REQUEST_MS, client) {
        Response::Outcome(outcome) => render_outcome(outcome),
        Response::Refused(reason) => error(400, &reason),
        Response::Unavailable => error(503, "no controller responds"),
        _ if is_read => error(503, "no controller responds"),
        Response::Full => error(503, "the log has no space for more calls"),
        _ => unknown_outcome(client_key.is_none().then_some(key)),
    }
}

/// Returns the response to a call that may have been applied. If this node synthesized the call's
/// key, the response states the key and has no `Retry-After`, because a repeat is safe only under
/// that key.
fn unknown_outcome(synthesized_key: Option<Name>) -> TargetResponse {
    let reason = "no word from the controller; a repeat under one Idempotency-Key is safe";
    let mut response = error(504, reason);
    if let Some(key) = synthesized_key {
        response.headers.retain(|(name, _)| name != "Retry-After");
        response.headers.push((postbarrow_node::KEY_HEADER.into(), key.to_string()));
    }
    response
}

/// Returns an identifier that a call shares with its repeats only: the same key with a different
/// call results in a different identifier.
fn repeat_id(key: &str, call: &Call) -> Name {
    let hash = Sha256::digest(format!("{call:?}").as_bytes());
    let hash: String = hash.iter().take(8).map(|byte| format!("{byte:02x}")).collect();
    Name::from(format!("{key}:{hash}"))
}

/// Serves a watch as a long poll. Without `after` the first response is returned at once; with it,
/// the poll lasts until there are events, `WATCH_WAIT_MS` has passed, the node stops, or the client
/// departs.
fn watch(shared: &Shared, call: Call, client: &ClientWatch) -> TargetResponse {
    let until_ms = clock_ms() + WATCH_WAIT_MS;
    let is_initial = matches!(call, Call::Watch { after: None, .. });
    let is_finished =
        || clock_ms() >= until_ms || shared.lifecycle.is_stopping() || client.has_departed();
    let mut call = call;
    loop {
        let request = Request::Call { id: None, call: call.clone() };
        match shared.control_loop.request(request, CONTROLLER_REQUEST_MS, client) {
            Response::Outcome(Outcome::Events { events, next })
                if events.is_empty() && !is_initial && !is_finished() =>
            {
                if let Call::Watch { after, .. } = &mut call {
                    *after = Some(next);
                }
            }
            Response::Outcome(outcome) => return render_outcome(outcome),
            Response::Refused(reason) => return error(400, &reason),
            _ if is_finished() => return error(503, "no controller responds"),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
