//! One control machine of a simulated cluster loses contact for twenty seconds, while operators and
//! applications send requests to it. It must return no stale state, acknowledge nothing without a
//! majority, and refuse no valid order.

use postbarrow_constants::consensus::CONTACT_LOST_MS;
use postbarrow_simulation::{ContactLoss, ContactLossResult, ContactLossRun};

/// The longest wait for an immediate response: two ticks of the control machine.
const IMMEDIATE_MS: u64 = 40;

/// Runs two seeds; asserts that they have no violations and enough responses, orders and plans.
fn run(kind: ContactLoss, leader: bool) -> Vec<ContactLossResult> {
    let results = [1, 2].map(|seed| {
        let result = ContactLossRun { seed, kind, leader }.run();
        let name = format!("{kind:?}, leader {leader}, seed {seed}");
        assert!(result.violations.is_empty(), "{name}: violations: {:#?}", result.violations);
        assert!(
            result.answered > 200 && result.orders > 3 && result.plans > 3,
            "{name}: too few responses, orders or plans: {result:?}"
        );
        result
    });
    results.into()
}

/// Asserts that most requests of the twenty seconds were answered as unavailable, and immediately.
fn assert_unavailable_immediately(results: &[ContactLossResult]) {
    for result in results {
        assert!(result.unavailable > 600, "too few requests answered as unavailable: {result:?}");
        assert!(result.longest_wait_ms <= IMMEDIATE_MS, "late unavailable response: {result:?}");
    }
}

#[test]
fn isolated_leader_reports_unavailable_immediately() {
    assert_unavailable_immediately(&run(ContactLoss::Full, true));
}

#[test]
fn isolated_follower_reports_unavailable_and_keeps_the_leader_after_it_reconnects() {
    let results = run(ContactLoss::Full, false);
    assert_unavailable_immediately(&results);
    assert!(
        results.iter().all(|result| result.leadership_unchanged),
        "the leader or its term changed: {results:?}"
    );
}

#[test]
fn leader_without_outbound_contact_returns_no_stale_response() {
    run(ContactLoss::Outbound, true);
}

#[test]
fn follower_without_outbound_contact_times_out_and_keeps_the_leader() {
    let results = run(ContactLoss::Outbound, false);
    assert!(results.iter().all(|result| result.timed_out > 400), "too few timeouts: {results:?}");
    assert!(
        results.iter().all(|result| result.leadership_unchanged),
        "the leader or its term changed: {results:?}"
    );
}

#[test]
fn leader_without_inbound_contact_reports_unavailable_immediately() {
    assert_unavailable_immediately(&run(ContactLoss::Inbound, true));
}

#[test]
fn follower_without_inbound_contact_reports_unavailable_and_keeps_the_leader() {
    let results = run(ContactLoss::Inbound, false);
    assert_unavailable_immediately(&results);
    assert!(
        results.iter().all(|result| result.leadership_unchanged),
        "the leader or its term changed: {results:?}"
    );
}

#[test]
fn leader_partitioned_from_members_reports_unavailable_immediately() {
    assert_unavailable_immediately(&run(ContactLoss::Members, true));
}

#[test]
fn leader_partitioned_from_data_nodes_still_answers_every_request() {
    let results = run(ContactLoss::Data, true);
    assert!(
        results.iter().all(|result| result.unavailable + result.timed_out == 0),
        "a request was unavailable or timed out: {results:?}"
    );
}

#[test]
fn frozen_leader_returns_no_stale_response_after_it_wakes() {
    run(ContactLoss::Frozen, true);
}

#[test]
fn frozen_follower_keeps_the_leader_after_it_wakes() {
    let results = run(ContactLoss::Frozen, false);
    assert!(
        results.iter().all(|result| result.leadership_unchanged),
        "the leader or its term changed: {results:?}"
    );
}

/// A restarted machine counts the time without contact from its start.
#[test]
fn isolated_leader_reports_unavailable_after_a_restart() {
    for result in run(ContactLoss::Restarted, true) {
        assert!(result.unavailable > 600, "too few requests answered as unavailable: {result:?}");
        let max_wait_ms = CONTACT_LOST_MS + IMMEDIATE_MS;
        assert!(result.longest_wait_ms <= max_wait_ms, "late unavailable response: {result:?}");
    }
}
