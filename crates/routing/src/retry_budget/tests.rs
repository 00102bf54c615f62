//! Tests of `budget`.

use super::*;

#[test]
fn extra_goes_stay_near_a_fifth_plus_a_small_allowance() {
    let nodes = 12;
    let fleet: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::default()).collect();
    let mut taken = 0;
    let asks = 30_000;
    for ask in 0..asks {
        let now_ms = 1 + ask * 2;
        let node = &fleet[(ask % nodes) as usize];
        node.on_request(nodes);
        for _ in 0..3 {
            taken += u64::from(node.take(now_ms, nodes));
        }
    }
    let seconds = asks * 2 / 1_000;
    let most = asks / 5 + seconds * RETRIES_PER_S + nodes + RETRY_BURST;
    assert!(taken <= most, "{taken} of at most {most}");
    assert!(taken >= asks / 5, "the share itself is there: {taken}");
}
