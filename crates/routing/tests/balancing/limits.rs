//! Which requests a route's rate and concurrency limits admit at one of several nodes.

use postbarrow_routing::{LimitExceeded, RouteLimits};
use postbarrow_state::{Route, RouteKind};

fn limits(rate_per_s: Option<u64>, concurrency: Option<u64>) -> RouteLimits {
    RouteLimits::new(&Route {
        path: "/".into(),
        methods: vec!["*".into()],
        kind: RouteKind::Lookup,
        service: "s".into(),
        when: None,
        body_bytes: 1,
        rate_per_s,
        concurrency,
        deadline_ms: 1,
        host: None,
        weighted_services: Vec::new(),
        max_attempts: None,
        latency_target_ms: None,
        priority: 0,
    })
}

fn admitted(limits: &RouteLimits, now_ms: u64, nodes: u64) -> usize {
    (0..100).filter(|_| limits.try_acquire(now_ms, nodes).is_ok()).count()
}

#[test]
fn each_node_admits_its_part_of_the_concurrency_rounded_up() {
    let limits = limits(None, Some(10));
    assert_eq!(admitted(&limits, 1_000, 4), 3);
    assert_eq!(limits.try_acquire(1_000, 4), Err(LimitExceeded::Concurrency));
    limits.release();
    assert_eq!((limits.try_acquire(1_000, 4), limits.in_flight()), (Ok(()), 3));
}

#[test]
fn a_rate_admits_one_seconds_requests_at_once_and_refills_by_time() {
    let limits = limits(Some(20), None);
    assert_eq!(admitted(&limits, 1_000, 2), 10, "the bucket starts with one second's tokens");
    assert_eq!(limits.try_acquire(1_000, 2), Err(LimitExceeded::Rate));
    assert_eq!(limits.in_flight(), 10, "a request rejected by the rate is not in flight");
    assert_eq!(admitted(&limits, 1_300, 2), 3);
    assert_eq!(admitted(&limits, 9_000, 2), 10, "the bucket holds at most one second's tokens");
}

#[test]
fn a_refill_adds_at_most_one_seconds_tokens_for_a_rate_below_the_number_of_nodes() {
    let limits = limits(Some(1), None);
    assert_eq!(admitted(&limits, 1_000, 4), 0, "the bucket has a quarter of a token");
    assert_eq!(admitted(&limits, 4_000, 4), 0, "a refill counts three seconds as one");
    assert_eq!(admitted(&limits, 5_000, 4), 0);
    assert_eq!(admitted(&limits, 6_000, 4), 1);
}
