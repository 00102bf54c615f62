//! A rehearsal that skips what the two states share has the same result as one that compares all.

use postbarrow_plan::{Rehearsal, ServiceRehearsal};
use postbarrow_state::*;
use postbarrow_transactions::Image as _;

fn route(path: usize, deadline_ms: u64, when: Option<usize>) -> Route {
    Route {
        path: format!("/r{path}").into(),
        methods: vec!["GET".into(), "PUT".into()],
        kind: RouteKind::OneTime,
        service: format!("s{}", path % 3).as_str().into(),
        when: when.map(|number| format!("path == '{number}'")),
        body_bytes: 1,
        rate_per_s: None,
        concurrency: None,
        deadline_ms,
        host: None,
        weighted_services: Vec::new(),
        max_attempts: None,
        latency_target_ms: None,
        priority: 0,
    }
}

fn service(number: usize) -> Record {
    let labels = Labels::from([("service".into(), format!("l{number}").as_str().into())]);
    Record::Service(Service { name: format!("s{number}").as_str().into(), labels })
}

fn target(number: usize) -> Record {
    Record::Target(Target {
        instance: format!("i{number}").as_str().into(),
        service: format!("l{}", number % 2).as_str().into(),
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

fn plan_in_force() -> State {
    let mut records = vec![Record::PlanStart { version: "v1".into(), base: None }];
    records.extend((0..3).map(service));
    records.extend((0..4).map(target));
    records.extend((0..40).map(|at| Record::Route(route(at / 2, 9, (at % 2 == 0).then_some(at)))));
    applied(&State::default(), &records)
}

/// The same state without shared routes and targets, as if its plan had been submitted in full.
fn unshared(state: &State) -> State {
    let mut unshared = state.clone();
    unshared.routes = state.routes.iter().map(|route| route.as_ref().clone().into()).collect();
    unshared.targets =
        state.targets.iter().map(|(name, target)| (name.clone(), target.clone())).collect();
    unshared
}

#[test]
fn sharing_routes_does_not_change_the_result_of_a_rehearsal() {
    let before = plan_in_force();
    let splice = |at, removed, inserted: Vec<Route>| RouteSplice { at, removed, inserted };
    let changes: Vec<Vec<RouteSplice>> = vec![
        vec![],
        vec![splice(7, 1, vec![route(3, 10, None)])],
        vec![splice(6, 2, vec![])],
        vec![splice(6, 2, vec![route(3, 9, None), route(3, 9, Some(6))])],
        vec![splice(0, 0, vec![route(100, 9, None)]), splice(39, 1, vec![])],
        vec![splice(8, 0, vec![route(3, 9, Some(700))])],
        (0..40).map(|at| splice(at, 1, vec![route(at as usize, 1, None)])).collect(),
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let mut records = vec![Record::PlanDelta { version: "v2".into(), base: None }];
        records.push(Record::RoutesPatch(change));
        if number % 2 == 1 {
            records.extend([Record::ServiceGone("s1".into()), service(5)]);
        }
        let staged = applied(&before, &records);
        let rehearsal = Rehearsal::compare(&before, &staged);
        assert_eq!(rehearsal, Rehearsal::compare(&unshared(&before), &staged), "change {number}");
        let is_unchanged = rehearsal.routes_added.is_empty()
            && rehearsal.routes_removed.is_empty()
            && rehearsal.routes_changed.is_empty();
        assert_eq!(is_unchanged, number == 0, "change {number}: {rehearsal:?}");
        assert_eq!(rehearsal.without_target, ["s2"], "change {number}");
    }
}

#[test]
fn shared_routes_in_another_order_are_reported_as_changed() {
    let before = plan_in_force();
    let mut staged = before.clone();
    let first = staged.routes.remove(0);
    staged.routes.insert(1, first);
    let rehearsal = Rehearsal::compare(&before, &staged);
    assert_eq!(
        rehearsal.routes_changed,
        ["GET /r0", "PUT /r0"],
        "the order of a route with a rule and one without changed"
    );
    assert_eq!(rehearsal, Rehearsal::compare(&unshared(&before), &staged));
}

#[test]
fn the_json_of_a_rehearsal_keeps_its_field_names() {
    let row = ServiceRehearsal { service: "s".into(), live_before: 1, live_after: 2 };
    let rehearsal = Rehearsal {
        routes_added: vec!["a".into()],
        routes_removed: vec!["b".into()],
        routes_changed: vec!["c".into()],
        services_added: vec!["d".into()],
        services_removed: vec!["e".into()],
        services_changed: vec!["f".into()],
        live_targets: vec![row],
        without_target: vec!["g".into()],
    };
    assert_eq!(
        facet_json::to_string(&rehearsal).unwrap(),
        r#"{"routesAdded":["a"],"routesRemoved":["b"],"routesChanged":["c"],"servicesAdded":["d"],"servicesRemoved":["e"],"servicesChanged":["f"],"liveTargets":[{"service":"s","liveBefore":1,"liveAfter":2}],"withoutTarget":["g"]}"#
    );
}
