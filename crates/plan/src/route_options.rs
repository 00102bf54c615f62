//! Reads the options of a route: host, attempts, latency target and priority.

use compact_str::CompactString;
use postbarrow_constants::plans::*;
use postbarrow_reading::{DocumentReader, Fields};
use postbarrow_state::Name;

/// The optional fields of a route that concern the balancing of its requests.
pub(crate) struct RouteOptions {
    pub host: Option<Name>,
    pub max_attempts: Option<u64>,
    pub latency_target_ms: Option<u64>,
    pub priority: u64,
}

/// Reads the fields `host`, `tries`, `goalMs` and `precedence` of a route.
pub(crate) fn read(route: &mut Fields<'_>, reading: &mut DocumentReader) -> RouteOptions {
    let host = route.optional_text("host", reading).map(str::to_ascii_lowercase);
    if host.as_ref().is_some_and(|host| !is_host(host)) {
        reading.add_finding(&route.path_of("host"), "must be a host's name without a port".into());
    }
    RouteOptions {
        host: host.map(CompactString::from),
        max_attempts: route.number("tries", 1..=MAX_ATTEMPTS_LIMIT, reading),
        latency_target_ms: route.number("goalMs", 1..=ROUTE_DEADLINE_MAX_MS, reading),
        priority: route.number("precedence", 0..=PRIORITY_MAX, reading).unwrap_or(0),
    }
}

fn is_host(host: &str) -> bool {
    (1..=HOST_BYTES).contains(&host.len())
        && host.bytes().all(|byte| byte.is_ascii_graphic() && !b":/?#".contains(&byte))
}
