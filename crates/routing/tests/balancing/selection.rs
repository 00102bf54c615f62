//! Which target is selected by its reports, zone and slow start.

use crate::support::{load, selections, table};
use std::collections::BTreeMap;

#[test]
fn the_least_utilized_target_is_selected_and_old_reports_fade() {
    let table = table(&[("one", "a", 2, false), ("two", "a", 2, false), ("three", "a", 6, false)]);
    load(&table, "one").report_slots_used(1_000, 2);
    load(&table, "two").report_slots_used(1_000, 0);
    load(&table, "three").report_slots_used(1_000, 6);
    assert_eq!(selections(&table, 1_000), BTreeMap::from([("two".into(), 100)]));
    load(&table, "two").enter();
    load(&table, "two").enter();
    load(&table, "three").report_slots_used(1_000, 1);
    assert_eq!(
        selections(&table, 1_000),
        BTreeMap::from([("three".into(), 100)]),
        "own requests count"
    );
    load(&table, "two").leave();
    load(&table, "two").leave();
    load(&table, "three").report_slots_used(1_000, 9);
    load(&table, "one").report_slots_used(60_000, 0);
    load(&table, "two").report_slots_used(60_000, 0);
    let later = selections(&table, 60_000);
    assert!(later["one"] > 20 && later["two"] > 20, "equals are drawn: {later:?}");
}

#[test]
fn a_warming_up_target_and_one_in_another_zone_come_after_their_equals() {
    let table =
        table(&[("warm", "a", 2, false), ("warming", "a", 2, true), ("far", "b", 2, false)]);
    let counts = selections(&table, 1_000);
    assert_eq!(counts.get("warming"), None, "{counts:?}");
    assert!(counts["warm"] > 80, "{counts:?}");
    load(&table, "warm").enter();
    assert_eq!(selections(&table, 1_000).get("far"), Some(&100), "capacity comes before zone");
}
