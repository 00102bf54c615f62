//! Reads the service of a route, or the several that share its requests by weight.

use compact_str::CompactString;
use postbarrow_constants::plans::WEIGHT_MAX;
use postbarrow_reading::{Fields, Reading, Value};
use postbarrow_state::{Name, WeightedService};

/// No service of a route has a weight above 0, so none would get its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("has no weight above 0")]
pub struct NoWeight;

/// The first service that gets any request.
///
/// # Errors
/// No weight is above 0.
pub fn weights(services: &[WeightedService]) -> Result<CompactString, NoWeight> {
    let first = services.iter().find(|service| service.weight > 0);
    first.map(|service| service.service.clone()).ok_or(NoWeight)
}

/// The route's service, in `service`, or its services, in `shares`, with the first of them.
pub(crate) fn read(
    route: &mut Fields<'_>,
    is_known: &dyn Fn(&str) -> bool,
    reading: &mut Reading,
) -> (Option<Name>, Vec<WeightedService>) {
    if route.get("shares").is_none() {
        let service = read_name(route, is_known, reading);
        return (service.map(CompactString::from), Vec::new());
    }
    if route.get("service").is_some() {
        reading.find(&route.path_of("service"), "stands beside shares".into());
    }
    let rows = route.array("shares", reading).into_iter();
    let services: Vec<WeightedService> = rows
        .filter_map(|(json_path, value)| read_weighted(&json_path, value, is_known, reading))
        .collect();
    match weights(&services) {
        Ok(first) => (Some(first), services),
        Err(error) => {
            reading.find(&route.path_of("shares"), error.to_string());
            (None, services)
        }
    }
}

fn read_weighted(
    json_path: &str,
    value: &Value,
    is_known: &dyn Fn(&str) -> bool,
    reading: &mut Reading,
) -> Option<WeightedService> {
    let mut fields = Fields::of(value, json_path, reading)?;
    let service = read_name(&mut fields, is_known, reading);
    fields.required("share", reading);
    let weight = fields.number("share", 0..=WEIGHT_MAX, reading);
    fields.finish(reading);
    Some(WeightedService { service: CompactString::from(service?), weight: weight? })
}

fn read_name<'v>(
    fields: &mut Fields<'v>,
    is_known: &dyn Fn(&str) -> bool,
    reading: &mut Reading,
) -> Option<&'v str> {
    let service = fields.text("service", reading);
    if let Some(name) = service.filter(|name| !is_known(name)) {
        let message = format!("names {name:?}, which is not among the services");
        reading.find(&fields.path_of("service"), message);
    }
    service
}
