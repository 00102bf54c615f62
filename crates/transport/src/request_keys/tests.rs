//! Tests of `request_keys`.

use super::*;
use std::collections::HashSet;

fn keys(incarnation: u64, count: usize) -> Vec<u64> {
    let source = RequestKeys::new(incarnation);
    (0..count).map(|_| source.next()).collect()
}

#[test]
fn no_key_is_issued_twice_to_several_threads() {
    let source = RequestKeys::new(u64::MAX - 5);
    let issued: Vec<u64> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| (0..50).map(|_| source.next()).collect::<Vec<u64>>()))
            .collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    assert_eq!(issued.iter().collect::<HashSet<_>>().len(), 200, "{issued:?}");
}

#[test]
fn keys_of_two_incarnations_differ() {
    for (earlier, later) in [(7, 0x5bd1_e995_0000_0123), (u64::MAX - 5, 0x9e37_79b9_7f4a_7c15)] {
        let earlier: HashSet<u64> = keys(earlier, 50).into_iter().collect();
        assert!(keys(later, 50).iter().all(|key| !earlier.contains(key)));
    }
}
