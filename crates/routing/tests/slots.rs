use postbarrow_routing::{Load, RouteMatch, Table};
use postbarrow_state::*;
use std::collections::BTreeMap;
use std::sync::Arc;

fn table(targets: &[(&str, &str, u64, bool)]) -> Table {
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
    for (at, (name, zone, slots, cold)) in targets.iter().enumerate() {
        let target = Target {
            instance: (*name).into(),
            service: "s".into(),
            address: format!("10.0.0.{at}:1").parse().unwrap(),
            zone: (*zone).into(),
            labels: Labels::new(),
            draining: false,
            down: false,
            slots: *slots,
            warming_up: *cold,
        };
        state.targets.insert(target.instance.clone(), Arc::new(target));
    }
    Table::new(Arc::new(state), 1, &Table::empty())
}

fn load<'t>(table: &'t Table, name: &str) -> &'t Arc<Load> {
    &table.loads()[name]
}

/// How often each is chosen in a hundred draws at this time.
fn chosen(table: &Table, now_ms: u64) -> BTreeMap<String, u32> {
    let host = [("Host".to_string(), "H.example:8080".to_string())];
    let RouteMatch::Route(entry) = table.find("POST", "/a", &host) else { panic!("no route") };
    let mut counts = BTreeMap::new();
    for seed in 0..100 {
        let (target, _) = entry.select_target("a", &[], now_ms, seed).unwrap();
        *counts.entry(target.instance.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn the_target_with_the_most_room_is_taken_and_old_words_fade() {
    let table = table(&[("one", "a", 2, false), ("two", "a", 2, false), ("three", "a", 6, false)]);
    load(&table, "one").report_slots_used(1_000, 2);
    load(&table, "two").report_slots_used(1_000, 0);
    load(&table, "three").report_slots_used(1_000, 6);
    assert_eq!(chosen(&table, 1_000), BTreeMap::from([("two".into(), 100)]));
    load(&table, "two").enter();
    load(&table, "two").enter();
    load(&table, "three").report_slots_used(1_000, 1);
    assert_eq!(chosen(&table, 1_000), BTreeMap::from([("three".into(), 100)]), "own asks count");
    load(&table, "two").leave();
    load(&table, "two").leave();
    load(&table, "three").report_slots_used(1_000, 9);
    load(&table, "one").report_slots_used(60_000, 0);
    load(&table, "two").report_slots_used(60_000, 0);
    let later = chosen(&table, 60_000);
    assert!(later["one"] > 20 && later["two"] > 20, "equals are drawn by lot: {later:?}");
}

#[test]
fn a_cold_target_and_one_in_another_zone_come_after_their_equals() {
    let table = table(&[("warm", "a", 2, false), ("cold", "a", 2, true), ("far", "b", 2, false)]);
    let counts = chosen(&table, 1_000);
    assert_eq!(counts.get("cold"), None, "{counts:?}");
    assert!(counts["warm"] > 80, "{counts:?}");
    load(&table, "warm").enter();
    assert_eq!(chosen(&table, 1_000).get("far"), Some(&100), "room goes before nearness");
}

#[test]
fn a_target_that_fails_again_and_again_is_passed_over_longer() {
    let table = table(&[("ill", "a", 2, false), ("well", "a", 2, false)]);
    let ill = load(&table, "ill");
    ill.on_failure(1_000);
    assert_eq!(chosen(&table, 1_900), BTreeMap::from([("well".into(), 100)]));
    assert!(chosen(&table, 2_100)["ill"] > 20, "tried again after a while");
    ill.on_failure(2_100);
    assert_eq!(chosen(&table, 4_000), BTreeMap::from([("well".into(), 100)]));
    ill.on_success();
    ill.on_rejection(4_000);
    assert_eq!(chosen(&table, 4_100), BTreeMap::from([("well".into(), 100)]));
    assert!(chosen(&table, 4_300)["ill"] > 20, "full is not ill");
    load(&table, "well").on_failure(4_300);
    ill.on_failure(4_300);
    assert!(chosen(&table, 4_400).len() == 2, "somebody must be asked");
}

#[test]
fn a_route_is_found_by_its_host_and_its_longest_prefix() {
    let table = table(&[("one", "a", 2, false)]);
    let find = |host: &str| {
        let host = [("host".to_string(), host.to_string())];
        matches!(table.find("GET", "/a/b", &host), RouteMatch::Route(_))
    };
    assert!(find("h.example") && find("H.EXAMPLE:80"));
    assert!(!find("other.example") && !find("") && !find("h.example.org"));
}
