//! Tests of `slab`.

use super::*;

#[test]
fn a_response_to_the_process_before_finds_no_ask_of_this_one() {
    let before = Slab::starting_at(7).insert("before");
    let mut slab = Slab::starting_at(u32::MAX);
    let now = slab.insert("now");
    assert_eq!(before as u32, now as u32, "both begin at the same place");
    assert_eq!(slab.take(before), None);
    assert_eq!(slab.take(now), Some("now"));
}

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
