//! Reads a plan's JSON: versions, services, routes and the limits of clients.

use crate::route_reader::read_route;
use crate::{Pattern, Plan, Segment, limits_reader};
use compact_str::CompactString;
use postbarrow_constants::plans::VERSION_BYTES;
use postbarrow_reading::{DocumentReader, Fields, Value, text};
use postbarrow_state::{Labels, Name, Route, Service};
use std::collections::{BTreeMap, BTreeSet};

/// Reads a plan; none if a required part can't be read, which is then reported as a finding.
pub(crate) fn read_plan(
    value: &Value,
    submitted: &str,
    reading: &mut DocumentReader,
) -> Option<Plan> {
    let mut fields = Fields::of(value, "$", reading)?;
    let (version, base) = read_versions(&mut fields, reading);
    let mut services = BTreeMap::new();
    for (name, json_path, value) in fields.named("services", reading) {
        if let Some(service) = read_service(&name, &json_path, value, reading) {
            services.insert(name, service);
        }
    }
    let mut routes = Vec::new();
    let mut earlier_keys = BTreeSet::new();
    for (json_path, value) in fields.array("routes", reading) {
        let Some(route) = read_route(&json_path, value, &services, reading) else { continue };
        check_is_unique(&route, &mut earlier_keys, &json_path, reading);
        routes.push(route);
    }
    let callers = limits_reader::read_client_limits(&mut fields, reading);
    fields.finish(reading);
    let services = services.into_values().collect();
    Some(Plan { version: version?, base, services, routes, callers, text: submitted.to_string() })
}

fn read_versions(
    fields: &mut Fields<'_>,
    reading: &mut DocumentReader,
) -> (Option<String>, Option<String>) {
    let version = fields.text("version", reading).map(str::to_string);
    let base = fields.optional_text("base", reading).map(str::to_string);
    for (field, name) in [("version", &version), ("base", &base)] {
        let Some(name) = name else { continue };
        if name.is_empty() || name.len() > VERSION_BYTES {
            let message = format!("must have 1 to {VERSION_BYTES} bytes");
            reading.add_finding(&fields.path_of(field), message);
        }
    }
    if version.is_some() && version == base {
        reading.add_finding("$.base", "is the plan's own version".into());
    }
    (version, base)
}

fn read_service(
    name: &str,
    json_path: &str,
    value: &Value,
    reading: &mut DocumentReader,
) -> Option<Service> {
    let mut fields = Fields::of(value, json_path, reading)?;
    let mut labels = Labels::new();
    for (label, json_path, value) in fields.named("labels", reading) {
        if let Some(value) = text(value, &json_path, reading) {
            labels.insert(CompactString::from(label), CompactString::from(value));
        }
    }
    if labels.is_empty() {
        reading.add_finding(json_path, "chooses by no label, which would be every target".into());
    }
    fields.finish(reading);
    Some(Service { name: CompactString::from(name), labels })
}

/// Pattern, method, rule and host of a route; each combination may occur only once in a plan.
type RouteKey = (Option<Vec<Segment>>, Name, Option<String>, Option<Name>);

fn check_is_unique(
    route: &Route,
    earlier_keys: &mut BTreeSet<RouteKey>,
    json_path: &str,
    reading: &mut DocumentReader,
) {
    for method in &route.methods {
        let shape = Pattern::read(&route.path).map(|pattern| pattern.shape());
        let key = (shape.ok(), method.clone(), route.when.clone(), route.host.clone());
        if !earlier_keys.insert(key) {
            let message = format!("has {method} {} a second time", route.path);
            reading.add_finding(json_path, message);
        }
    }
}
