use compact_str::CompactString;
use postbarrow_constants::plans::*;
use postbarrow_reading::{Fields, Reading};
use postbarrow_state::WeightedService;

pub(crate) struct RouteOptions {
    pub host: Option<CompactString>,
    pub max_attempts: Option<u64>,
    pub latency_target_ms: Option<u64>,
    pub priority: u64,
}

pub(crate) fn read(route: &mut Fields<'_>, reading: &mut Reading) -> RouteOptions {
    let host = route.text_or_none("host", reading).map(str::to_ascii_lowercase);
    let sound = |host: &String| {
        (1..=HOST_BYTES).contains(&host.len())
            && host.bytes().all(|byte| byte.is_ascii_graphic() && !b":/?#".contains(&byte))
    };
    if host.as_ref().is_some_and(|host| !sound(host)) {
        reading.find(&route.path_of("host"), "must be a host's name without a port".into());
    }
    RouteOptions {
        host: host.map(CompactString::from),
        max_attempts: route.number("tries", 1..=MAX_ATTEMPTS_LIMIT, reading),
        latency_target_ms: route.number("goalMs", 1..=ROUTE_DEADLINE_MAX_MS, reading),
        priority: route.number("precedence", 0..=PRIORITY_MAX, reading).unwrap_or(0),
    }
}

/// One service, or several that share the route's asks by weight.
pub(crate) fn services(
    route: &mut Fields<'_>,
    known: &dyn Fn(&str) -> bool,
    reading: &mut Reading,
) -> (Option<CompactString>, Vec<WeightedService>) {
    if route.get("shares").is_none() {
        let service = route.text("service", reading);
        if let Some(name) = service.filter(|name| !known(name)) {
            reading.find(&route.path_of("service"), unknown(name));
        }
        return (service.map(CompactString::from), Vec::new());
    }
    if route.get("service").is_some() {
        reading.find(&route.path_of("service"), "stands beside shares".into());
    }
    let mut shares = Vec::new();
    let json_path = route.path_of("shares");
    for (json_path, value) in route.array("shares", reading) {
        let Some(mut fields) = Fields::of(value, &json_path, reading) else { continue };
        let service = fields.text("service", reading);
        if let Some(name) = service.filter(|name| !known(name)) {
            reading.find(&fields.path_of("service"), unknown(name));
        }
        fields.required("share", reading);
        let weight = fields.number("share", 0..=WEIGHT_MAX, reading);
        fields.finish(reading);
        if let (Some(service), Some(weight)) = (service, weight) {
            shares.push(WeightedService { service: CompactString::from(service), weight });
        }
    }
    match weights(&shares) {
        Ok(first) => (Some(first), shares),
        Err(message) => {
            reading.find(&json_path, message);
            (None, shares)
        }
    }
}

fn unknown(name: &str) -> String {
    format!("names {name:?}, which is not among the services")
}

/// The first service that gets any ask.
///
/// # Errors
/// No weight is above 0.
pub fn weights(shares: &[WeightedService]) -> Result<CompactString, String> {
    let first = shares.iter().find(|share| share.weight > 0);
    first.map(|share| share.service.clone()).ok_or("has no weight above 0".into())
}
