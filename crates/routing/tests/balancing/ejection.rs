//! How long a target is ejected after failures and rejections.

use crate::support::{load, selection_counts, table};
use std::collections::BTreeMap;

#[test]
fn a_target_that_fails_again_is_ejected_longer() {
    let table = table(&[("failing", "a", 2, false), ("healthy", "a", 2, false)]);
    let failing = load(&table, "failing");
    failing.on_failure(1_000);
    assert_eq!(selection_counts(&table, 1_900), BTreeMap::from([("healthy".into(), 100)]));
    assert!(
        selection_counts(&table, 2_100)["failing"] > 20,
        "a target is eligible again after its ejection"
    );
    failing.on_failure(2_100);
    assert_eq!(selection_counts(&table, 4_000), BTreeMap::from([("healthy".into(), 100)]));
    failing.on_success();
    failing.on_rejection(4_000);
    assert_eq!(selection_counts(&table, 4_100), BTreeMap::from([("healthy".into(), 100)]));
    assert!(
        selection_counts(&table, 4_300)["failing"] > 20,
        "a rejection ejects for a shorter time than a failure"
    );
    load(&table, "healthy").on_failure(4_300);
    failing.on_failure(4_300);
    assert!(
        selection_counts(&table, 4_400).len() == 2,
        "if all targets are ejected, all are eligible"
    );
}
