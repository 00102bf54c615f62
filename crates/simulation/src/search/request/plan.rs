//! The routing table, with one plan and two targets, of the model of two requests.

use crate::search::request::wire::Kind;
use postbarrow_node::RequestContext;
use postbarrow_routing::{Entry, RouteMatch, Table};
use postbarrow_state::{Labels, Name, PlanHead, Route, RouteKind, Service, State, Target};
use std::net::SocketAddr;
use std::sync::Arc;

/// The time at which both requests arrive, in milliseconds of the node's clock.
pub const START_MS: u64 = 10_000;
/// The deadline of both requests, in milliseconds after their arrival.
pub const DEADLINE_MS: u64 = 4_000;

/// A retry allowance that no search exhausts: percent of requests, retries a second and retries
/// that may be saved up.
const RETRY_ALLOWANCE: (u64, u64, u64) = (100, 100, 100);

/// Returns the instance name of the target with this index, 0 or 1.
pub(in crate::search) fn target_name(index: usize) -> Name {
    Name::from(["target-1", "target-2"][index])
}

/// Returns the context of a client's request.
pub(in crate::search) fn request_context(client: usize, with_ticket_log: bool) -> RequestContext {
    RequestContext {
        key: Name::from(format!("key-{client}")),
        keyed: false,
        digest: [client as u8; 32],
        node: 5,
        zone: Name::from("a"),
        uses_ticket_log: with_ticket_log,
        deadline_ms: START_MS + DEADLINE_MS,
        seed: client as u64,
    }
}

/// Returns the routing table's entry for a request of this kind.
pub(in crate::search) fn route_entry(table: &Table, kind: Kind) -> Arc<Entry> {
    let (method, path) = match kind {
        Kind::OneTime => ("POST", "/transfers"),
        Kind::Lookup => ("GET", "/stock"),
    };
    match table.find(method, path, &[]) {
        RouteMatch::Route(entry) => entry,
        RouteMatch::NoRoute | RouteMatch::OtherMethods(_) => {
            panic!("the model's plan has no matching route")
        }
    }
}

/// Returns a routing table with one service of two targets, and a route of each kind.
pub(in crate::search) fn model_table() -> Table {
    let head = PlanHead { version: "v1".into(), base: None, offset: 1 };
    let mut state = State { plan: Some(Arc::new(head)), ..State::default() };
    let service = Service { name: "s".into(), labels: Labels::new() };
    state.services.insert("s".into(), Arc::new(service));
    for (path, method, kind) in
        [("/transfers", "POST", RouteKind::OneTime), ("/stock", "GET", RouteKind::Lookup)]
    {
        state.routes.push_back(Arc::new(route(path, method, kind)));
    }
    for index in 0..2 {
        let target = Target {
            instance: target_name(index),
            service: "s".into(),
            address: SocketAddr::from(([10, 4, 0, 1 + index as u8], 80)),
            zone: "a".into(),
            labels: Labels::new(),
            draining: false,
            down: false,
            slots: 0,
            warming_up: false,
        };
        state.targets.insert(target.instance.clone(), Arc::new(target));
    }
    Table::new(Arc::new(state), 1, &Table::empty().with_retry_allowance(RETRY_ALLOWANCE))
}

fn route(path: &str, method: &str, kind: RouteKind) -> Route {
    Route {
        path: path.into(),
        methods: vec![method.into()],
        kind,
        service: "s".into(),
        when: None,
        body_bytes: 1_000,
        rate_per_s: None,
        concurrency: None,
        deadline_ms: DEADLINE_MS,
        host: None,
        weighted_services: Vec::new(),
        max_attempts: None,
        latency_target_ms: None,
        priority: 0,
    }
}
