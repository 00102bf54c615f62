//! The order ledger finds each response to operators' orders that contradicts an earlier one.

use postbarrow_simulation::{Order, OrderLedger};

fn order(version: &str, base: Option<&str>, text: &str) -> Order {
    Order { version: version.into(), base: base.map(Into::into), text: text.into() }
}

#[test]
fn repeated_equal_responses_are_no_violation() {
    let mut ledger = OrderLedger::default();
    let (accepted, refused) = (order("v1", None, "a"), order("v1", None, "b"));
    for _ in 0..2 {
        assert!(ledger.record_acknowledgement(&accepted).is_empty());
        assert!(ledger.record_refusal(&refused).is_empty());
    }
    assert_eq!(ledger.accepted_orders(), [&accepted]);
    assert_eq!(ledger.refused_orders(), [&refused]);
}

#[test]
fn two_texts_of_one_version_are_a_violation() {
    let mut ledger = OrderLedger::default();
    assert!(ledger.record_acknowledgement(&order("v1", None, "a")).is_empty());
    assert_eq!(ledger.record_acknowledgement(&order("v1", None, "b")).len(), 1);
}

#[test]
fn two_versions_on_one_base_are_a_violation() {
    let mut ledger = OrderLedger::default();
    assert!(ledger.record_acknowledgement(&order("v2", Some("v1"), "a")).is_empty());
    assert_eq!(ledger.record_acknowledgement(&order("v3", Some("v1"), "b")).len(), 1);
}

#[test]
fn an_accepted_order_refused_and_a_refused_one_accepted_are_violations() {
    let mut ledger = OrderLedger::default();
    let (accepted, refused) = (order("v1", None, "a"), order("v2", Some("v1"), "b"));
    assert!(ledger.record_acknowledgement(&accepted).is_empty());
    assert_eq!(ledger.record_refusal(&accepted).len(), 1);
    assert!(ledger.record_refusal(&refused).is_empty());
    assert_eq!(ledger.record_acknowledgement(&refused).len(), 1);
}
