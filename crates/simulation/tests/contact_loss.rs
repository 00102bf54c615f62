//! A control machine loses contact for twenty seconds, in simulated clusters, while operators and
//! callers keep sending it requests: nothing stale is shown, nothing is acknowledged without a
//! majority, no valid order is refused.

use postbarrow_constants::consensus::CONTACT_LOST_MS;
use postbarrow_simulation::{ContactLoss, ContactLossResult, ContactLossRun};

/// "At once": two ticks of the machine.
const AT_ONCE_MS: u64 = 40;

fn run(kind: ContactLoss, leader: bool) -> Vec<ContactLossResult> {
    let results = [1, 2].map(|seed| {
        let result = ContactLossRun { seed, kind, leader }.run();
        let name = format!("{kind:?}, leader {leader}, seed {seed}");
        assert!(result.violations.is_empty(), "{name}: {:#?}", result.violations);
        assert!(
            result.answered > 200 && result.orders > 3 && result.plans > 3,
            "{name}: {result:?}"
        );
        result
    });
    results.into()
}

/// Most of twenty seconds of requests were answered as unavailable, and at once.
fn assert_unavailable_at_once(results: &[ContactLossResult]) {
    for one in results {
        assert!(one.unavailable > 600, "{one:?}");
        assert!(one.longest_wait_ms <= AT_ONCE_MS, "{one:?}");
    }
}

#[test]
fn isolated_leader_reports_unavailable_at_once() {
    assert_unavailable_at_once(&run(ContactLoss::Full, true));
}

#[test]
fn isolated_follower_reports_unavailable_and_keeps_the_leader_when_healed() {
    let results = run(ContactLoss::Full, false);
    assert_unavailable_at_once(&results);
    assert!(results.iter().all(|one| one.undisturbed), "{results:?}");
}

#[test]
fn leader_without_outbound_contact_gives_no_stale_answer() {
    run(ContactLoss::Outbound, true);
}

#[test]
fn follower_without_outbound_contact_times_out_and_keeps_the_leader() {
    let results = run(ContactLoss::Outbound, false);
    assert!(results.iter().all(|one| one.unclear > 400), "{results:?}");
    assert!(results.iter().all(|one| one.undisturbed), "{results:?}");
}

#[test]
fn leader_without_inbound_contact_reports_unavailable_at_once() {
    assert_unavailable_at_once(&run(ContactLoss::Inbound, true));
}

#[test]
fn follower_without_inbound_contact_reports_unavailable_and_keeps_the_leader() {
    let results = run(ContactLoss::Inbound, false);
    assert_unavailable_at_once(&results);
    assert!(results.iter().all(|one| one.undisturbed), "{results:?}");
}

#[test]
fn leader_partitioned_from_members_reports_unavailable_at_once() {
    assert_unavailable_at_once(&run(ContactLoss::Members, true));
}

#[test]
fn leader_partitioned_from_data_nodes_still_answers_every_request() {
    let results = run(ContactLoss::Data, true);
    assert!(results.iter().all(|one| one.unavailable + one.unclear == 0), "{results:?}");
}

#[test]
fn frozen_leader_gives_no_stale_answer_when_it_wakes() {
    run(ContactLoss::Frozen, true);
}

#[test]
fn frozen_follower_keeps_the_leader_when_it_wakes() {
    let results = run(ContactLoss::Frozen, false);
    assert!(results.iter().all(|one| one.undisturbed), "{results:?}");
}

#[test]
fn isolated_leader_reports_unavailable_after_a_restart() {
    for one in run(ContactLoss::Restarted, true) {
        assert!(one.unavailable > 600, "{one:?}");
        let wait_ms = CONTACT_LOST_MS + AT_ONCE_MS;
        assert!(one.longest_wait_ms <= wait_ms, "lost contact is counted from the start: {one:?}");
    }
}
