//! Tests of `retry_budget`.

use super::*;

#[test]
fn retries_stay_within_a_fifth_of_the_requests_plus_a_small_allowance() {
    let nodes = 12;
    let fleet: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::default()).collect();
    let mut retries = 0;
    let requests = 30_000;
    for request in 0..requests {
        let now_ms = 1 + request * 2;
        let node = &fleet[(request % nodes) as usize];
        node.on_request(nodes);
        for _ in 0..3 {
            retries += u64::from(node.take(now_ms, nodes));
        }
    }
    let seconds = requests * 2 / 1_000;
    let max = requests / 5 + seconds * RETRIES_PER_S + nodes + RETRY_BURST;
    assert!(retries <= max, "{retries} of at most {max}");
    assert!(retries >= requests / 5, "the percentage itself is allowed: {retries}");
}
