//! Tests of `slab`.

use super::*;

#[test]
fn a_late_response_finds_no_other_ask() {
    let mut slab = Slab::default();
    let first = slab.insert("first");
    assert_eq!(slab.take(first), Some("first"));
    let second = slab.insert("second");
    assert_eq!(first as u32, second as u32, "the place is used again");
    assert_eq!(slab.take(first), None);
    assert_eq!(slab.take(second), Some("second"));
    assert!(slab.is_empty());
}
