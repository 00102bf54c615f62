//! Reads one route of a plan.

use crate::{ANY_METHOD, Pattern, limits_reader, route_options, weighted_services};
use compact_str::CompactString;
use postbarrow_constants::traffic::{COORDINATION_PREFIX, READINESS_PATH};
use postbarrow_reading::{DocumentReader, Fields, Value, text};
use postbarrow_rules::Rule;
use postbarrow_state::{Name, Route, RouteKind, Service};
use std::collections::BTreeMap;

/// Reads a route; none if a required part can't be read. Findings are reported in the order in
/// which this function reads the fields.
pub(crate) fn read_route(
    json_path: &str,
    value: &Value,
    services: &BTreeMap<String, Service>,
    reading: &mut DocumentReader,
) -> Option<Route> {
    let mut fields = Fields::of(value, json_path, reading)?;
    let path = read_path(&mut fields, reading);
    let methods = read_methods(&mut fields, reading);
    let kind = read_kind(&mut fields, &methods, reading);
    let is_service = |name: &str| services.contains_key(name);
    let (service, weighted) = weighted_services::read(&mut fields, &is_service, reading);
    let when = read_rule(&mut fields, reading);
    let limits = limits_reader::read_route_limits(&mut fields, reading);
    let options = route_options::read(&mut fields, reading);
    fields.finish(reading);
    Some(Route {
        path: path?,
        methods,
        kind: kind?,
        service: service?,
        when,
        body_bytes: limits.body_bytes,
        rate_per_s: limits.rate_per_s,
        concurrency: limits.concurrency,
        deadline_ms: limits.deadline_ms,
        host: options.host,
        weighted_services: weighted,
        max_attempts: options.max_attempts,
        latency_target_ms: options.latency_target_ms,
        priority: options.priority,
    })
}

fn read_path(fields: &mut Fields<'_>, reading: &mut DocumentReader) -> Option<Name> {
    let path = fields.text("path", reading)?;
    if let Err(error) = Pattern::read(path) {
        reading.add_finding(&fields.path_of("path"), error.to_string());
    }
    if path == READINESS_PATH || path.starts_with(COORDINATION_PREFIX) {
        reading.add_finding(&fields.path_of("path"), "is kept for the nodes themselves".into());
    }
    Some(CompactString::from(path))
}

fn read_methods(fields: &mut Fields<'_>, reading: &mut DocumentReader) -> Vec<Name> {
    let mut methods = Vec::new();
    for (json_path, value) in fields.array("methods", reading) {
        let Some(method) = text(value, &json_path, reading) else { continue };
        let is_token = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
        if method != ANY_METHOD && (!is_token || method == "CONNECT") {
            let message = "must be a method in capitals, and not CONNECT, or *";
            reading.add_finding(&json_path, message.into());
        }
        methods.push(CompactString::from(method));
    }
    if methods.is_empty() {
        reading.add_finding(&fields.path_of("methods"), "must name a method".into());
    }
    methods
}

/// Reads the kind of a route. A `repeatable` route is a lookup that allows any method; a `lookup`
/// allows only safe methods (RFC 9110, 9.2.1).
fn read_kind(
    fields: &mut Fields<'_>,
    methods: &[Name],
    reading: &mut DocumentReader,
) -> Option<RouteKind> {
    let name = fields.text("kind", reading)?;
    let kind = match name {
        "lookup" | "repeatable" => Some(RouteKind::Lookup),
        "one-time" => Some(RouteKind::OneTime),
        _ => {
            let message = "must be lookup, repeatable or one-time";
            reading.add_finding(&fields.path_of("kind"), message.into());
            None
        }
    };
    let is_safe = |method: &Name| matches!(method.as_str(), "GET" | "HEAD" | "OPTIONS");
    if name == "lookup" && !methods.iter().all(is_safe) {
        let message = "a lookup may run again, so it takes GET, HEAD and OPTIONS only";
        reading.add_finding(&fields.path_of("methods"), message.into());
    }
    kind
}

fn read_rule(fields: &mut Fields<'_>, reading: &mut DocumentReader) -> Option<String> {
    let rule = fields.optional_text("when", reading)?;
    if let Err(error) = Rule::compile(rule) {
        reading.add_finding(&fields.path_of("when"), error.to_string());
    }
    Some(rule.to_string())
}
