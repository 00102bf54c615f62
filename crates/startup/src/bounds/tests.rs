//! Tests of `bounds`.

use super::*;

#[test]
fn bounds_that_a_deployment_does_not_set_have_the_constants_as_defaults() {
    let defaults = Bounds::default();
    assert_eq!(defaults.node_lease_ms(), NODE_LEASE_MS);
    assert_eq!(defaults.shutdown_times_ms(), (STOP_UNREADY_MS, STOP_UNREADY_MS + STOP_WAIT_MS));
    assert_eq!(defaults.retry_budget(), (RETRY_PERCENT, RETRIES_PER_S, RETRY_BURST));
    assert_eq!((defaults.bodies_bytes(), defaults.log_bytes()), (BODIES_BYTES as u64, LOG_BYTES));
}

#[test]
fn a_dead_voter_is_replaced_after_half_of_the_time_to_catch_up_within_limits() {
    assert_eq!(Bounds::default().voter_dead_ms(), VOTER_DEAD_MS);
    for (catch_up_ms, dead_ms) in [(2_000, 1_500), (4_000, 2_000), (6_000, 3_000), (60_000, 4_000)]
    {
        let bounds = Bounds { catch_up_ms, ..Bounds::default() };
        assert_eq!(bounds.voter_dead_ms(), dead_ms);
    }
}

#[test]
fn derived_bounds_stay_within_the_deployments_bounds() {
    for (drain_ms, in_force_ms, grace_ms) in [(2_500, 2_000, 6_000), (2_000, 2_000, 3_000)] {
        let bounds = Bounds { drain_ms, in_force_ms, grace_ms, ..Bounds::default() };
        assert!(
            bounds.node_lease_ms() * 3 <= drain_ms.min(in_force_ms) * 2,
            "{}",
            bounds.node_lease_ms()
        );
        let (unready_ms, end_ms) = bounds.shutdown_times_ms();
        assert!(unready_ms * 2 < end_ms && end_ms + 200 <= grace_ms, "{unready_ms} {end_ms}");
    }
    let bounds =
        Bounds { retry_percent: 20, retry_window_ms: 10_000, retry_slack: 68, ..Bounds::default() };
    let (percent, per_s, burst) = bounds.retry_budget();
    assert_eq!(percent, 20);
    assert!(per_s * 10 + burst <= 68, "{per_s} a second, {burst} burst");
    let fast_list = Bounds { list_gap_ms: Some(20), ..Bounds::default() };
    assert_eq!(fast_list.list_gap_ms(), 26, "the gap that the list permits, with a margin");
    let slow_list = Bounds { list_gap_ms: Some(500), ..Bounds::default() };
    assert_eq!(slow_list.list_gap_ms(), 650);
    let small =
        Bounds { memory_bytes: Some(64 << 20), disk_bytes: Some(64 << 20), ..Bounds::default() };
    assert_eq!((small.bodies_bytes(), small.log_bytes()), (16 << 20, 8 << 20));
    let reserved = 2 * (small.reserved_log_bytes() + small.reserved_slot_bytes());
    assert_eq!(reserved, 40 << 20, "two logs and two slots, with space left on the disk");
}
