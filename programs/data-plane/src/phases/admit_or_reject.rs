//! Phase: admits a request and acquires its permits, or rejects it.

use super::match_route::MatchedRoute;
use super::rejection::Rejection;
use crate::admission::{Rejected, RequestPermits, admit_request};
use crate::dialect::Dialect;
use crate::shared::Shared;
use postbarrow_constants::coordination::TICKET_KEY_BYTES;
use postbarrow_downstream::head::{Head, Reject};
use postbarrow_node::RequestOutcome;
use std::net::IpAddr;

const INVALID_KEY: Reject = Reject {
    status: 400,
    reason: "the Idempotency-Key must be one of 1 to 200 printable characters, no colon",
};

/// Checks the idempotency key of a one-time request and acquires the permits of any request.
///
/// # Errors
/// Rejects the request if its key is invalid, or if the node, the client or the route is over a
/// limit.
pub fn admit<'s>(
    shared: &'s Shared,
    route: &MatchedRoute,
    head: &Head,
    client: IpAddr,
) -> Result<RequestPermits<'s>, Rejection> {
    if route.is_one_time() && !has_valid_key(shared.dialect.as_ref(), head) {
        return Err(Rejection::Unreadable {
            reject: INVALID_KEY,
            may_have_run_before: route.evidence.keyed,
        });
    }
    admit_request(&shared.admission, client, &route.entry, route.table.nodes()).map_err(
        |rejected| {
            let outcome = match rejected {
                Rejected::Overloaded => RequestOutcome::Overloaded,
                Rejected::OverRate => RequestOutcome::OverRate,
                Rejected::OverConcurrency => RequestOutcome::OverConcurrency,
            };
            Rejection::decided(shared, route.evidence, outcome)
        },
    )
}

/// Returns whether the request has no idempotency key or exactly one valid key. Nothing is checked
/// for a dialect that names the target in each request and finds no key in this one.
fn has_valid_key(dialect: &dyn Dialect, head: &Head) -> bool {
    if dialect.idempotency_key(head).is_none() && dialect.target_identification().is_some() {
        return true;
    }
    let keys = head.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("idempotency-key"));
    keys.clone().count() <= 1
        && keys.clone().all(|(_, key)| {
            (1..=TICKET_KEY_BYTES).contains(&key.len())
                && key.bytes().all(|byte| byte.is_ascii_graphic())
        })
}
