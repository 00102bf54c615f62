//! Tests of `slab`.

use super::*;

#[test]
fn a_late_response_finds_no_other_ask() {
    let mut slab = Slab::new(0);
    let first = slab.insert("first");
    assert_eq!(slab.take(first), Some("first"));
    let second = slab.insert("second");
    assert_eq!(first as u32, second as u32, "the place is used again");
    assert_eq!(slab.take(first), None);
    assert_eq!(slab.take(second), Some("second"));
    assert!(slab.is_empty());
}

#[test]
fn a_response_to_an_earlier_life_finds_no_ask_of_this_one() {
    for (earlier, later) in [(7, 0x5bd1_e995_0000_0123), (u64::MAX - 5, 0x9e37_79b9_7f4a_7c15)] {
        let mut slab = Slab::new(earlier);
        let keys: Vec<u64> = (0..50).map(|at| slab.insert(at)).collect();
        let mut slab = Slab::new(later);
        let asked: Vec<u64> = (0..50).map(|at| slab.insert(at)).collect();
        assert!(keys.iter().all(|key| slab.take(*key).is_none()), "a question of another life");
        let told: Vec<Option<i32>> = asked.iter().map(|key| slab.take(*key)).collect();
        assert!(told.into_iter().eq((0..50).map(Some)), "its own are all found");
    }
}
