//! A new table reuses what its image shares with the previous one, and rebuilds the rest.

use postbarrow_constants::plans::ROUTE_DEADLINE_DEFAULT_MS;
use postbarrow_routing::{BuildStatistics, RouteMatch, Table};
use postbarrow_state::*;
use postbarrow_transactions::Image as _;
use std::sync::Arc;

fn route(at: usize, service: &str) -> Route {
    Route {
        path: format!("/r{at}").into(),
        methods: vec!["GET".into()],
        kind: RouteKind::Lookup,
        service: service.into(),
        when: at.is_multiple_of(5).then(|| "headers['x-kind'] == 'a'".to_string()),
        body_bytes: 1,
        rate_per_s: None,
        concurrency: None,
        deadline_ms: ROUTE_DEADLINE_DEFAULT_MS,
        host: None,
        weighted_services: Vec::new(),
        max_attempts: None,
        latency_target_ms: None,
        priority: 0,
    }
}

fn service(name: &str, label: &str) -> Record {
    let labels = Labels::from([("service".into(), label.into())]);
    Record::Service(Service { name: name.into(), labels })
}

fn target(instance: &str, service: &str) -> Record {
    Record::Target(Target {
        instance: instance.into(),
        service: service.into(),
        address: "10.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        labels: Labels::new(),
        draining: false,
        down: false,
        slots: 0,
        warming_up: false,
    })
}

fn applied(state: &State, records: &[Record]) -> State {
    let mut state = state.clone();
    records.iter().for_each(|record| state.apply(2, record));
    state
}

/// A state with two services of one target each and this many routes, alternating between the
/// services; every tenth route is weighted between both.
fn initial_state(routes: usize) -> State {
    let mut records = vec![
        Record::PlanStart { version: "v1".into(), base: None },
        service("s", "one"),
        service("t", "two"),
        target("one-1", "one"),
        target("two-1", "two"),
    ];
    for at in 0..routes {
        let mut route = route(at, if at % 2 == 0 { "s" } else { "t" });
        if at % 10 == 9 {
            let weighted = |service: &str| WeightedService { service: service.into(), weight: 1 };
            route.weighted_services = vec![weighted("s"), weighted("t")];
        }
        records.push(Record::Route(route));
    }
    applied(&State::default(), &records)
}

fn change(version: &str, records: Vec<Record>) -> Vec<Record> {
    let start = Record::PlanDelta { version: version.into(), base: Some("v1".into()) };
    std::iter::once(start).chain(records).collect()
}

fn splice(at: u64, removed: u64, inserted: Vec<Route>) -> Record {
    Record::RoutesPatch(vec![RouteSplice { at, removed, inserted }])
}

fn table(state: &State, old: &Table) -> Table {
    Table::new(Arc::new(state.clone()), 1, old)
}

#[test]
fn one_changed_route_of_six_hundred_is_the_only_one_compiled() {
    let state = initial_state(600);
    let old = table(&state, &Table::empty());
    let all = BuildStatistics { services_resolved: 2, routes_compiled: 600, entries_built: 600 };
    assert_eq!(old.statistics(), all);
    let mut changed = route(300, "s");
    changed.deadline_ms = 7;
    let state = applied(&state, &change("v2", vec![splice(300, 1, vec![changed])]));
    let new = table(&state, &old);
    assert_eq!(
        new.statistics(),
        BuildStatistics { services_resolved: 0, routes_compiled: 1, entries_built: 1 }
    );
    let headers = [("x-kind".to_string(), "a".to_string())];
    let RouteMatch::Route(entry) = new.find("GET", "/r300", &headers) else {
        panic!("no route matches /r300")
    };
    assert_eq!(entry.route().deadline_ms, 7);
    let state = applied(&state, &change("v3", vec![splice(10, 2, vec![route(900, "t")])]));
    let new = table(&state, &new);
    assert_eq!(
        new.statistics(),
        BuildStatistics { services_resolved: 0, routes_compiled: 1, entries_built: 1 }
    );
    assert!(matches!(new.find("GET", "/r900", &headers), RouteMatch::Route(_)));
    assert!(
        matches!(new.find("GET", "/r11", &[]), RouteMatch::NoRoute),
        "a removed route still matches"
    );
}

#[test]
fn a_changed_service_rebuilds_the_entries_of_its_routes_only() {
    let state = initial_state(100);
    let old = table(&state, &Table::empty());
    let state = applied(&state, &change("v2", vec![service("t", "one")]));
    let new = table(&state, &old);
    let expected = BuildStatistics { services_resolved: 1, routes_compiled: 0, entries_built: 50 };
    assert_eq!(
        new.statistics(),
        expected,
        "the odd routes use the service, and all weighted routes are odd"
    );
    let RouteMatch::Route(entry) = new.find("GET", "/r1", &[]) else {
        panic!("no route matches /r1")
    };
    assert_eq!(entry.select_target("a", &[], 0, 1).unwrap().0.instance, "one-1");
}

#[test]
fn a_weighted_route_is_rebuilt_when_any_of_its_services_changes() {
    let state = initial_state(100);
    let old = table(&state, &Table::empty());
    let state = applied(&state, &change("v2", vec![service("s", "two")]));
    let new = table(&state, &old);
    let expected = BuildStatistics { services_resolved: 1, routes_compiled: 0, entries_built: 60 };
    assert_eq!(
        new.statistics(),
        expected,
        "the even routes and ten weighted odd routes use the service"
    );
    for seed in 0..20 {
        let RouteMatch::Route(entry) = new.find("GET", "/r99", &[]) else {
            panic!("no route matches /r99")
        };
        let target = entry.draw_service(seed).select_target("a", &[], 0, seed).unwrap().0;
        assert_eq!(
            target.instance, "two-1",
            "a weighted route retained the targets of the old service"
        );
    }
}

#[test]
fn a_changed_target_rebuilds_every_entry_and_compiles_no_route() {
    let state = initial_state(100);
    let old = table(&state, &Table::empty());
    let state = applied(&state, &[Record::TargetGone("one-1".into()), target("one-2", "one")]);
    let new = table(&state, &old);
    let expected = BuildStatistics { services_resolved: 2, routes_compiled: 0, entries_built: 100 };
    assert_eq!(new.statistics(), expected);
    for seed in 0..20 {
        let RouteMatch::Route(entry) = new.find("GET", "/r99", &[]) else {
            panic!("no route matches /r99")
        };
        let target = entry.draw_service(seed).select_target("a", &[], 0, seed).unwrap().0;
        assert_ne!(target.instance, "one-1", "a weighted route retained a removed target");
    }
}
