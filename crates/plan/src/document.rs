use crate::{ANY_METHOD, Pattern, limits, route_options};
use compact_str::CompactString;
use postbarrow_constants::plans::*;
use postbarrow_reading::{Fields, Findings, Reading, Value, text};
use postbarrow_rules::Rule;
use postbarrow_state::{ClientLimits, Labels, Route, RouteKind, Service};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub struct Plan {
    pub version: String,
    pub base: Option<String>,
    pub services: Vec<Service>,
    pub routes: Vec<Route>,
    pub callers: ClientLimits,
    pub text: String,
}

impl Plan {
    pub fn read(given: &[u8]) -> Result<Plan, Findings> {
        if given.len() > PLAN_TEXT_BYTES {
            let message = format!("is larger than {PLAN_TEXT_BYTES} bytes");
            return Err(Findings::without_position("$", message));
        }
        let given = std::str::from_utf8(given).map_err(|error| {
            Findings::without_position("$", format!("is not UTF-8 at byte {}", error.valid_up_to()))
        })?;
        let (value, mut reading) = Reading::parse(given)?;
        let plan = read_plan(&value, given, &mut reading);
        match plan {
            Some(plan) => reading.finish(plan),
            None => Err(reading.finish(()).expect_err("a plan that can't be read has findings")),
        }
    }
}

fn read_plan(value: &Value, given: &str, reading: &mut Reading) -> Option<Plan> {
    let mut fields = Fields::of(value, "$", reading)?;
    let version = fields.text("version", reading).map(str::to_string);
    let base = fields.text_or_none("base", reading).map(str::to_string);
    for (field, name) in [("version", &version), ("base", &base)] {
        let Some(name) = name else { continue };
        if name.is_empty() || name.len() > VERSION_BYTES {
            let message = format!("must have 1 to {VERSION_BYTES} bytes");
            reading.find(&fields.path_of(field), message);
        }
    }
    if version.is_some() && version == base {
        reading.find("$.base", "is the plan's own version".into());
    }
    let mut services = BTreeMap::new();
    for (name, json_path, value) in fields.named("services", reading) {
        if let Some(service) = read_service(&name, &json_path, value, reading) {
            services.insert(name, service);
        }
    }
    let mut routes = Vec::new();
    let mut known = BTreeSet::new();
    for (json_path, value) in fields.array("routes", reading) {
        let Some(route) = read_route(&json_path, value, &services, reading) else { continue };
        for method in &route.methods {
            let shape = Pattern::read(&route.path).map(|pattern| pattern.shape());
            let place_of = (shape.ok(), method.clone(), route.when.clone(), route.host.clone());
            if !known.insert(place_of) {
                let message = format!("has {method} {} a second time", route.path);
                reading.find(&json_path, message);
            }
        }
        routes.push(route);
    }
    let callers = limits::callers(&mut fields, reading);
    fields.finish(reading);
    let services = services.into_values().collect();
    Some(Plan { version: version?, base, services, routes, callers, text: given.to_string() })
}

fn read_service(
    name: &str,
    json_path: &str,
    value: &Value,
    reading: &mut Reading,
) -> Option<Service> {
    let mut fields = Fields::of(value, json_path, reading)?;
    let mut labels = Labels::new();
    for (label, json_path, value) in fields.named("labels", reading) {
        if let Some(value) = text(value, &json_path, reading) {
            labels.insert(CompactString::from(label), CompactString::from(value));
        }
    }
    if labels.is_empty() {
        reading.find(json_path, "chooses by no label, which would be every target".into());
    }
    fields.finish(reading);
    Some(Service { name: CompactString::from(name), labels })
}

fn read_route(
    json_path: &str,
    value: &Value,
    services: &BTreeMap<String, Service>,
    reading: &mut Reading,
) -> Option<Route> {
    let mut fields = Fields::of(value, json_path, reading)?;
    let path = fields.text("path", reading);
    if let Some(path) = path
        && let Err(message) = Pattern::read(path)
    {
        reading.find(&fields.path_of("path"), message);
    }
    if path.is_some_and(|path| path == "/ready" || path.starts_with("/coordination/")) {
        reading.find(&fields.path_of("path"), "is kept for the nodes themselves".into());
    }
    let mut methods = Vec::new();
    for (json_path, value) in fields.array("methods", reading) {
        let Some(method) = text(value, &json_path, reading) else { continue };
        let sound = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
        if method != ANY_METHOD && (!sound || method == "CONNECT") {
            reading.find(&json_path, "must be a method in capitals, and not CONNECT, or *".into());
        }
        methods.push(CompactString::from(method));
    }
    if methods.is_empty() {
        reading.find(&fields.path_of("methods"), "must name a method".into());
    }
    let word = fields.text("kind", reading);
    let kind = match word {
        Some("lookup") => Some(RouteKind::Lookup),
        Some("repeatable") => Some(RouteKind::Lookup),
        Some("one-time") => Some(RouteKind::OneTime),
        Some(_) => {
            let message = "must be lookup, repeatable or one-time";
            reading.find(&fields.path_of("kind"), message.into());
            None
        }
        None => None,
    };
    if word == Some("lookup") {
        let safe = |method: &CompactString| matches!(method.as_str(), "GET" | "HEAD" | "OPTIONS");
        if !methods.iter().all(safe) {
            let message = "a lookup may run again, so it takes GET, HEAD and OPTIONS only";
            reading.find(&fields.path_of("methods"), message.into());
        }
    }
    let known = |name: &str| services.contains_key(name);
    let (service, shares) = route_options::services(&mut fields, &known, reading);
    let when = fields.text_or_none("when", reading).map(str::to_string);
    if let Some(rule) = &when
        && let Err(message) = Rule::compile(rule)
    {
        reading.find(&fields.path_of("when"), message);
    }
    let bounds = limits::read(&mut fields, reading);
    let aims = route_options::read(&mut fields, reading);
    fields.finish(reading);
    Some(Route {
        path: CompactString::from(path?),
        methods,
        kind: kind?,
        service: service?,
        when,
        body_bytes: bounds.body_bytes,
        rate_per_s: bounds.rate_per_s,
        concurrency: bounds.concurrency,
        deadline_ms: bounds.deadline_ms,
        host: aims.host,
        weighted_services: shares,
        max_attempts: aims.max_attempts,
        latency_target_ms: aims.latency_target_ms,
        priority: aims.priority,
    })
}
