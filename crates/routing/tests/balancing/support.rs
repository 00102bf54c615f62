//! Support for the balancing tests: a table of one route and a few targets.

use postbarrow_routing::{Load, RouteMatch, Table};
use postbarrow_state::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A table whose only route matches any path of the host `h.example`, for one service with targets
/// given by name, zone, slots and whether they are warming up.
pub fn table(targets: &[(&str, &str, u64, bool)]) -> Table {
    let mut state = State::default();
    let labels = Labels::from([("service".into(), "s".into())]);
    state.services.insert("s".into(), Arc::new(Service { name: "s".into(), labels }));
    state.routes.push_back(Arc::new(Route {
        path: "/*".into(),
        methods: vec!["*".into()],
        kind: RouteKind::Lookup,
        service: "s".into(),
        when: None,
        body_bytes: 1,
        rate_per_s: None,
        concurrency: None,
        deadline_ms: 1,
        host: Some("h.example".into()),
        weighted_services: Vec::new(),
        max_attempts: None,
        latency_target_ms: None,
        priority: 0,
    }));
    for (at, (name, zone, slots, warming_up)) in targets.iter().enumerate() {
        let target = Target {
            instance: (*name).into(),
            service: "s".into(),
            address: format!("10.0.0.{at}:1").parse().unwrap(),
            zone: (*zone).into(),
            labels: Labels::new(),
            draining: false,
            down: false,
            slots: *slots,
            warming_up: *warming_up,
        };
        state.targets.insert(target.instance.clone(), Arc::new(target));
    }
    Table::new(Arc::new(state), 1, &Table::empty())
}

/// Returns the load of a target, by the target's name.
pub fn load<'t>(table: &'t Table, name: &str) -> &'t Arc<Load> {
    &table.loads()[name]
}

/// Returns how often each target is selected with a hundred different seeds at this time, in zone
/// `a`.
pub fn selection_counts(table: &Table, now_ms: u64) -> BTreeMap<String, u32> {
    let host = [("Host".to_string(), "H.example:8080".to_string())];
    let RouteMatch::Route(entry) = table.find("POST", "/a", &host) else {
        panic!("no route matches /a")
    };
    let mut counts = BTreeMap::new();
    for seed in 0..100 {
        let (target, _) = entry.select_target("a", &[], now_ms, seed).unwrap();
        *counts.entry(target.instance.to_string()).or_default() += 1;
    }
    counts
}
