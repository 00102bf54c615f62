//! The plan and the targets of the model of two requests.

use crate::search::request::wire::Kind;
use postbarrow_node::RequestContext;
use postbarrow_routing::{Entry, RouteMatch, Table};
use postbarrow_state::{Labels, Name, PlanHead, Route, RouteKind, Service, State, Target};
use std::net::SocketAddr;
use std::sync::Arc;

/// When both requests arrive, in milliseconds.
pub const START_MS: u64 = 10_000;
/// Each must end within this time, in milliseconds.
pub const DEADLINE_MS: u64 = 4_000;

/// A retry budget that never bounds the search: per cent, a second, saved.
const RETRIES: (u64, u64, u64) = (100, 100, 100);

/// The name of one of the two targets.
pub(in crate::search) fn target_name(at: usize) -> Name {
    Name::from(["target-1", "target-2"][at])
}

/// A request's context beyond its bytes.
pub(in crate::search) fn context(client: usize, logged: bool) -> RequestContext {
    RequestContext {
        key: Name::from(format!("key-{client}")),
        keyed: false,
        digest: [client as u8; 32],
        node: 5,
        zone: Name::from("a"),
        uses_ticket_log: logged,
        deadline_ms: START_MS + DEADLINE_MS,
        seed: client as u64,
    }
}

/// The route that a request of this kind takes.
pub(in crate::search) fn entry(table: &Table, kind: Kind) -> Arc<Entry> {
    let (method, path) = match kind {
        Kind::OneTime => ("POST", "/transfers"),
        Kind::Lookup => ("GET", "/stock"),
    };
    match table.find(method, path, &[]) {
        RouteMatch::Route(entry) => entry,
        RouteMatch::NoRoute | RouteMatch::OtherMethods(_) => {
            panic!("the model's plan has this route")
        }
    }
}

/// One service of two targets, with a route of each kind.
pub(in crate::search) fn table() -> Table {
    let head = PlanHead { version: "v1".into(), base: None, offset: 1 };
    let mut state = State { plan: Some(Arc::new(head)), ..State::default() };
    let service = Service { name: "s".into(), labels: Labels::new() };
    state.services.insert("s".into(), Arc::new(service));
    for (path, method, kind) in
        [("/transfers", "POST", RouteKind::OneTime), ("/stock", "GET", RouteKind::Lookup)]
    {
        state.routes.push_back(Arc::new(route(path, method, kind)));
    }
    for at in 0..2 {
        let target = Target {
            instance: target_name(at),
            service: "s".into(),
            address: SocketAddr::from(([10, 4, 0, 1 + at as u8], 80)),
            zone: "a".into(),
            labels: Labels::new(),
            draining: false,
            down: false,
            slots: 0,
            warming_up: false,
        };
        state.targets.insert(target.instance.clone(), Arc::new(target));
    }
    Table::new(Arc::new(state), 1, &Table::empty().with_retry_allowance(RETRIES))
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
