//! The retries of several nodes together stay within the fleet's allowance.

use super::*;

#[test]
fn retries_of_the_fleet_stay_within_20_percent_of_the_requests_plus_the_rate_allowance() {
    let nodes = 12;
    let node_budgets: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::default()).collect();
    let mut retries = 0;
    let requests = 30_000;
    for request in 0..requests {
        let now_ms = 1 + request * 2;
        let node = &node_budgets[(request % nodes) as usize];
        node.on_request(nodes);
        for _ in 0..3 {
            retries += u64::from(node.take(now_ms, nodes));
        }
    }
    let seconds = requests * 2 / 1_000;
    let max = requests / 5 + seconds * RETRIES_PER_S + nodes + RETRY_BURST;
    assert!(retries <= max, "{retries} retries, at most {max} allowed");
    assert!(retries >= requests / 5, "{retries} retries, fewer than the percentage allows");
}
