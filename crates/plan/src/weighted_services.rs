//! Reads the service of a route, or the services that share the route's requests by weight.

use compact_str::CompactString;
use postbarrow_constants::plans::WEIGHT_MAX;
use postbarrow_reading::{DocumentReader, Fields, Value};
use postbarrow_state::{Name, WeightedService};

/// No service of a route has a weight above 0, so no service would get the route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("has no weight above 0")]
pub struct NoWeight;

/// Returns the first service with a weight above 0.
///
/// # Errors
/// Returns [`NoWeight`] if no weight is above 0.
pub fn first_weighted_service(services: &[WeightedService]) -> Result<CompactString, NoWeight> {
    let first = services.iter().find(|service| service.weight > 0);
    first.map(|service| service.service.clone()).ok_or(NoWeight)
}

/// Reads the route's service from the field `service`, or its weighted services from the field
/// `shares`. With `shares`, the first service returned is the first one with a weight above 0.
pub(crate) fn read(
    route: &mut Fields<'_>,
    is_service: &dyn Fn(&str) -> bool,
    reading: &mut DocumentReader,
) -> (Option<Name>, Vec<WeightedService>) {
    if route.get("shares").is_none() {
        let service = read_name(route, is_service, reading);
        return (service.map(CompactString::from), Vec::new());
    }
    if route.get("service").is_some() {
        reading.add_finding(&route.path_of("service"), "stands beside shares".into());
    }
    let rows = route.array("shares", reading).into_iter();
    let services: Vec<WeightedService> = rows
        .filter_map(|(json_path, value)| read_weighted(&json_path, value, is_service, reading))
        .collect();
    match first_weighted_service(&services) {
        Ok(first) => (Some(first), services),
        Err(error) => {
            reading.add_finding(&route.path_of("shares"), error.to_string());
            (None, services)
        }
    }
}

fn read_weighted(
    json_path: &str,
    value: &Value,
    is_service: &dyn Fn(&str) -> bool,
    reading: &mut DocumentReader,
) -> Option<WeightedService> {
    let mut fields = Fields::of(value, json_path, reading)?;
    let service = read_name(&mut fields, is_service, reading);
    fields.required("share", reading);
    let weight = fields.number("share", 0..=WEIGHT_MAX, reading);
    fields.finish(reading);
    Some(WeightedService { service: CompactString::from(service?), weight: weight? })
}

fn read_name<'v>(
    fields: &mut Fields<'v>,
    is_service: &dyn Fn(&str) -> bool,
    reading: &mut DocumentReader,
) -> Option<&'v str> {
    let service = fields.text("service", reading);
    if let Some(name) = service.filter(|name| !is_service(name)) {
        let message = format!("names {name:?}, which is not among the services");
        reading.add_finding(&fields.path_of("service"), message);
    }
    service
}
