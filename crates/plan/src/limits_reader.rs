//! Reads the limits of a route, and the limits that apply to every client.

use postbarrow_constants::plans::*;
use postbarrow_reading::{DocumentReader, Fields};
use postbarrow_state::ClientLimits;

/// Largest rate (in requests per second) and concurrency of a route.
const ROUTE_LIMIT_MAX: u64 = 1_000_000;

/// The limits of a route; rate and concurrency apply to the whole fleet.
pub(crate) struct Limits {
    pub body_bytes: u64,
    pub rate_per_s: Option<u64>,
    pub concurrency: Option<u64>,
    pub deadline_ms: u64,
}

/// Reads the field `limits` of a route; absent limits have their defaults.
pub(crate) fn read_route_limits(route: &mut Fields<'_>, reading: &mut DocumentReader) -> Limits {
    let mut limits = Limits {
        body_bytes: ROUTE_BODY_DEFAULT_BYTES,
        rate_per_s: None,
        concurrency: None,
        deadline_ms: ROUTE_DEADLINE_DEFAULT_MS,
    };
    let json_path = route.path_of("limits");
    let Some(value) = route.get("limits") else { return limits };
    let Some(mut fields) = Fields::of(value, &json_path, reading) else { return limits };
    if let Some(body_bytes) = fields.number("bodyBytes", 0..=ROUTE_BODY_MAX_BYTES, reading) {
        limits.body_bytes = body_bytes;
    }
    limits.rate_per_s = fields.number("ratePerS", 1..=ROUTE_LIMIT_MAX, reading);
    limits.concurrency = fields.number("concurrency", 1..=ROUTE_LIMIT_MAX, reading);
    if let Some(deadline_ms) = fields.number("deadlineMs", 1..=ROUTE_DEADLINE_MAX_MS, reading) {
        limits.deadline_ms = deadline_ms;
    }
    fields.finish(reading);
    limits
}

/// Reads the field `callers` of a plan: the limits that apply to every client.
pub(crate) fn read_client_limits(
    plan: &mut Fields<'_>,
    reading: &mut DocumentReader,
) -> ClientLimits {
    let json_path = plan.path_of("callers");
    let Some(value) = plan.get("callers") else { return ClientLimits::default() };
    let Some(mut fields) = Fields::of(value, &json_path, reading) else {
        return ClientLimits::default();
    };
    let limits = ClientLimits {
        head_bytes: fields.number("headBytes", 256..=HEAD_MAX_BYTES, reading),
        head_wait_ms: fields.number("headWaitMs", 1..=ROUTE_DEADLINE_MAX_MS, reading),
        idle_ms: fields.number("idleMs", 1..=IDLE_MAX_MS, reading),
    };
    fields.finish(reading);
    limits
}
