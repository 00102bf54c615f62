//! Tests of `question_keys`.

use super::*;
use std::collections::HashSet;

fn keys(life: u64, count: usize) -> Vec<u64> {
    let source = RequestKeys::new(life);
    (0..count).map(|_| source.next()).collect()
}

#[test]
fn no_key_comes_twice_in_a_life_whichever_thread_draws_it() {
    let source = RequestKeys::new(u64::MAX - 5);
    let drawn: Vec<u64> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| (0..50).map(|_| source.next()).collect::<Vec<u64>>()))
            .collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    assert_eq!(drawn.iter().collect::<HashSet<_>>().len(), 200, "{drawn:?}");
}

#[test]
fn a_key_of_an_earlier_life_is_none_of_this_one() {
    for (earlier, later) in [(7, 0x5bd1_e995_0000_0123), (u64::MAX - 5, 0x9e37_79b9_7f4a_7c15)] {
        let earlier: HashSet<u64> = keys(earlier, 50).into_iter().collect();
        assert!(keys(later, 50).iter().all(|key| !earlier.contains(key)));
    }
}
