//! Which target is selected by load reports, zone and slow start.

use crate::support::{load, selection_counts, table};
use std::collections::BTreeMap;

#[test]
fn the_least_utilized_target_is_selected_and_old_reports_lose_weight() {
    let table = table(&[("one", "a", 2, false), ("two", "a", 2, false), ("three", "a", 6, false)]);
    load(&table, "one").store_report_with_slots(1_000, 2);
    load(&table, "two").store_report_with_slots(1_000, 0);
    load(&table, "three").store_report_with_slots(1_000, 6);
    assert_eq!(selection_counts(&table, 1_000), BTreeMap::from([("two".into(), 100)]));
    load(&table, "two").request_started();
    load(&table, "two").request_started();
    load(&table, "three").store_report_with_slots(1_000, 1);
    assert_eq!(
        selection_counts(&table, 1_000),
        BTreeMap::from([("three".into(), 100)]),
        "this node's own requests count"
    );
    load(&table, "two").request_ended();
    load(&table, "two").request_ended();
    load(&table, "three").store_report_with_slots(1_000, 9);
    load(&table, "one").store_report_with_slots(60_000, 0);
    load(&table, "two").store_report_with_slots(60_000, 0);
    let later = selection_counts(&table, 60_000);
    assert!(
        later["one"] > 20 && later["two"] > 20,
        "targets with about the same score are selected at random: {later:?}"
    );
}

#[test]
fn a_warming_up_target_and_one_in_another_zone_are_selected_after_otherwise_equal_ones() {
    let table =
        table(&[("warm", "a", 2, false), ("warming", "a", 2, true), ("far", "b", 2, false)]);
    let counts = selection_counts(&table, 1_000);
    assert_eq!(counts.get("warming"), None, "{counts:?}");
    assert!(counts["warm"] > 80, "{counts:?}");
    load(&table, "warm").request_started();
    assert_eq!(
        selection_counts(&table, 1_000).get("far"),
        Some(&100),
        "free capacity outweighs the zone"
    );
}
