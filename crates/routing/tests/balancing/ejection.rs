//! How long a target is passed over after failures and rejections.

use crate::support::{load, selections, table};
use std::collections::BTreeMap;

#[test]
fn a_target_that_fails_again_is_ejected_longer() {
    let table = table(&[("failing", "a", 2, false), ("healthy", "a", 2, false)]);
    let failing = load(&table, "failing");
    failing.on_failure(1_000);
    assert_eq!(selections(&table, 1_900), BTreeMap::from([("healthy".into(), 100)]));
    assert!(selections(&table, 2_100)["failing"] > 20, "eligible after its ejection");
    failing.on_failure(2_100);
    assert_eq!(selections(&table, 4_000), BTreeMap::from([("healthy".into(), 100)]));
    failing.on_success();
    failing.on_rejection(4_000);
    assert_eq!(selections(&table, 4_100), BTreeMap::from([("healthy".into(), 100)]));
    assert!(selections(&table, 4_300)["failing"] > 20, "a rejection is no failure");
    load(&table, "healthy").on_failure(4_300);
    failing.on_failure(4_300);
    assert!(selections(&table, 4_400).len() == 2, "all ejected: all are eligible");
}
