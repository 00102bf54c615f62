//! Submissions that are repeated, compete with others, are aborted, or are interrupted by a change
//! of leader.

mod harness;
use harness::*;
use postbarrow_consensus::RecoveredState;
use postbarrow_constants::plans::TRANSACTION_OPEN_MS;
use postbarrow_messages::*;
use postbarrow_state::Record;
use postbarrow_transactions::BatchRecord;
use std::sync::Arc;

fn body(harness: &Harness, key: u64) -> String {
    let Some(Response::Operator { body, .. }) = harness.response(key) else {
        panic!("no response")
    };
    String::from_utf8_lossy(body).into_owned()
}

/// Returns how many plans were begun, and how many accepted.
fn count_begun_and_accepted(harness: &Harness) -> (usize, usize) {
    let begun =
        harness.records.iter().filter(|record| matches!(record, BatchRecord::Begin { .. })).count();
    let accepted =
        harness.records.iter().filter(|record| matches!(record, BatchRecord::End)).count();
    (begun, accepted)
}

/// Submits the plans v1 to v`count`, each on the one before, with request keys from 1,000.
fn accept_plans(harness: &mut Harness, count: u64) {
    for number in 1..=count {
        let base = (number > 1).then(|| format!("v{}", number - 1));
        harness.submit(999 + number, &plan(&format!("v{number}"), base.as_deref(), 1, "catalogue"));
        harness.run_until_idle();
        assert_eq!(harness.status(999 + number), Some(200));
    }
}

/// Checks that v1 is known as accepted, with three request keys from `keys`: its repeat is
/// acknowledged, and another text of it, or another plan on it, is refused without being begun.
fn check_v1_is_known(harness: &mut Harness, keys: u64) {
    let before = count_begun_and_accepted(harness);
    harness.submit(keys, &plan("v1", None, 1, "catalogue"));
    harness.submit(keys + 1, &plan("v1", None, 2, "catalogue"));
    harness.submit(keys + 2, &plan("x", Some("v1"), 1, "catalogue"));
    harness.run_until_idle();
    let statuses = [harness.status(keys), harness.status(keys + 1), harness.status(keys + 2)];
    assert_eq!(statuses, [Some(200), Some(409), Some(409)]);
    assert_eq!(count_begun_and_accepted(harness), before, "a known plan was begun again");
}

#[test]
fn of_eight_submissions_on_one_base_one_is_accepted_and_repeats_get_the_same_status() {
    let mut harness = Harness::serving();
    for key in 1..=8 {
        harness.submit(key, &plan("v1", None, key as usize, "catalogue"));
    }
    harness.run_until_idle();
    let statuses: Vec<_> = (1..=8).map(|key| harness.status(key)).collect();
    assert_eq!(statuses.iter().filter(|status| **status == Some(200)).count(), 1);
    assert_eq!(statuses.iter().filter(|status| **status == Some(409)).count(), 7);
    for number in 2..6 {
        let base = format!("v{}", number - 1);
        harness.submit(100 + number, &plan(&format!("v{number}"), Some(&base), 1, "catalogue"));
        harness.run_until_idle();
    }
    for key in 1..=8 {
        harness.submit(20 + key, &plan("v1", None, key as usize, "catalogue"));
    }
    harness.run_until_idle();
    let repeated: Vec<_> = (21..=28).map(|key| harness.status(key)).collect();
    assert_eq!(repeated, statuses);
    assert_eq!(count_begun_and_accepted(&harness), (5, 5));
}

#[test]
fn an_accepted_plan_is_acknowledged_with_its_offsets_after_later_plans() {
    let mut harness = Harness::serving();
    accept_plans(&mut harness, 5);
    let first = body(&harness, 1_000);
    harness.submit(1, &plan("v1", None, 1, "catalogue"));
    harness.run_until_idle();
    let repeated = body(&harness, 1);
    let offsets = |text: &str| {
        let from = text.find("\"beganAt\"").unwrap();
        text[from..text.find(",\"rehearsal\"").unwrap()].to_string()
    };
    assert_eq!(offsets(&repeated), offsets(&first));
    assert!(
        first.contains("\"inForce\":true") && repeated.contains("\"inForce\":false"),
        "{repeated}"
    );
    check_v1_is_known(&mut harness, 10);
}

#[test]
fn three_copies_of_a_submission_begin_one_plan_and_are_each_acknowledged() {
    let mut harness = Harness::serving();
    let text = plan("v1", None, 6_000, "catalogue");
    for key in 1..=3 {
        harness.submit(key, &text);
    }
    assert_eq!(harness.response(2), None, "answered before the End");
    harness.run_until_idle();
    let statuses = [harness.status(1), harness.status(2), harness.status(3)];
    assert_eq!(statuses, [Some(200); 3]);
    assert_eq!(count_begun_and_accepted(&harness), (1, 1));
}

#[test]
fn an_accepted_plan_is_known_to_a_leader_restored_from_the_log() {
    let mut harness = Harness::serving();
    accept_plans(&mut harness, 3);
    let term = harness.node.consensus().term();
    let mut restarted = Harness::new(recovered(&[1], harness.entries.clone(), term));
    restarted.become_leader();
    assert_eq!(restarted.state().plan_version(), Some("v3"));
    check_v1_is_known(&mut restarted, 1);
}

#[test]
fn an_accepted_plan_is_known_to_a_leader_restored_from_a_snapshot() {
    let mut harness = Harness::serving();
    harness.set_log_bound(1);
    accept_plans(&mut harness, 3);
    harness.tick(20);
    let snapshot = harness.snapshot.take().expect("a snapshot was encoded");
    let term = harness.node.consensus().term();
    let entries =
        harness.entries.iter().filter(|entry| entry.index > snapshot.index).cloned().collect();
    let snapshot = Some(Arc::new(snapshot));
    let mut restarted = Harness::new(RecoveredState { term, voted_for: None, snapshot, entries });
    restarted.become_leader();
    assert_eq!(restarted.state().plan_version(), Some("v3"));
    check_v1_is_known(&mut restarted, 1);
}

#[test]
fn a_submission_interrupted_by_a_new_leader_is_lost_and_then_accepted_once() {
    let mut harness = Harness::serving();
    accept_plans(&mut harness, 1);
    let text = plan("v2", Some("v1"), 1, "catalogue");
    harness.submit(2, &text);
    harness.depose_with(Record::Number { name: "n".into(), value: 4 });
    assert_eq!(harness.response(2), Some(&Response::Lost));
    assert!(harness.state().accepted_plan("v2").is_none());
    harness.become_leader();
    harness.submit(3, &text);
    harness.submit(4, &text);
    harness.run_until_idle();
    assert_eq!((harness.status(3), harness.status(4)), (Some(200), Some(200)));
    assert_eq!(harness.state().accepted_plans.len(), 2);
}

/// After an abort because the transaction was open too long, every copy of the submission may still
/// be accepted, so none may be refused.
#[test]
fn an_overdue_submission_is_not_refused_and_a_late_copy_is_accepted_once() {
    let mut harness = Harness::serving();
    let text = plan("v1", None, 6_000, "catalogue");
    harness.submit(1, &text);
    harness.submit(1, &text);
    harness.submit(2, &text);
    for _ in 0..TRANSACTION_OPEN_MS / 20 + 1 {
        harness.tick(20);
    }
    assert_eq!(
        harness.response(1),
        Some(&Response::Duplicate),
        "answered before the abort is committed"
    );
    assert_eq!(harness.response(2), None, "answered before the abort is committed");
    for _ in 0..3 {
        harness.sync();
    }
    assert_eq!(harness.response(1), Some(&Response::TimedOut));
    harness.submit(1, &text);
    harness.run_until_idle();
    assert_eq!((harness.status(1), harness.status(2)), (Some(200), Some(200)));
    assert_eq!(count_begun_and_accepted(&harness), (2, 1));
    assert_eq!(harness.state().accepted_plans.len(), 1);
}

#[test]
fn a_submission_refused_for_an_unknown_base_stays_refused_once_the_base_is_accepted() {
    let mut harness = Harness::serving();
    accept_plans(&mut harness, 1);
    let text = plan("v3", Some("v2"), 1, "catalogue");
    harness.submit(1, &text);
    assert_eq!(harness.response(1), None, "answered before the refusal is committed");
    harness.run_until_idle();
    assert_eq!(harness.status(1), Some(409));
    harness.submit(2, &plan("v2", Some("v1"), 1, "catalogue"));
    harness.run_until_idle();
    harness.submit(1, &text);
    harness.run_until_idle();
    assert_eq!(harness.status(1), Some(409), "a late copy took effect after its refusal");
    let term = harness.node.consensus().term();
    let mut restarted = Harness::new(recovered(&[1], harness.entries.clone(), term));
    restarted.become_leader();
    restarted.answer_list(&[("catalogue-1", "catalogue")]);
    restarted.submit(1, &text);
    restarted.submit(2, &plan("v3", Some("v2"), 2, "catalogue"));
    restarted.run_until_idle();
    assert_eq!((restarted.status(1), restarted.status(2)), (Some(409), Some(200)));
}

#[test]
fn a_dry_run_changes_nothing_and_the_same_plan_is_accepted_after_it() {
    let mut harness = Harness::serving();
    let text = plan("v1", None, 1, "catalogue");
    harness.request(1, Request::Submit(Submission { dry_run: true, ..submission(&text) }));
    harness.run_until_idle();
    assert!(harness.state().accepted_plans.is_empty());
    harness.submit(2, &text);
    harness.run_until_idle();
    assert_eq!((harness.status(1), harness.status(2)), (Some(200), Some(200)));
    assert_eq!(harness.state().accepted_plans.len(), 1);
}
