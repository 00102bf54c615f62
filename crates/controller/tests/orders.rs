//! One order under way by several paths, sent again, raced, aborted, and after a change of leader.

mod bench;
use bench::*;
use postbarrow_consensus::RecoveredState;
use postbarrow_constants::plans::TRANSACTION_OPEN_MS;
use postbarrow_messages::*;
use postbarrow_state::Record;
use postbarrow_transactions::BatchRecord;
use std::sync::Arc;

fn body(bench: &Bench, key: u64) -> String {
    let Some(Response::Operator { body, .. }) = bench.answer(key) else { panic!("no answer") };
    String::from_utf8_lossy(body).into_owned()
}

/// How often a plan was begun, and put in force.
fn begun_and_taken(bench: &Bench) -> (usize, usize) {
    let begun = bench.lines.iter().filter(|line| matches!(line, BatchRecord::Begin { .. })).count();
    let taken = bench.lines.iter().filter(|line| matches!(line, BatchRecord::End)).count();
    (begun, taken)
}

/// v1 to `count`, each on the one before; keys from 1,000.
fn built(bench: &mut Bench, count: u64) {
    for number in 1..=count {
        let base = (number > 1).then(|| format!("v{}", number - 1));
        bench.submit(999 + number, &plan(&format!("v{number}"), base.as_deref(), 1, "catalogue"));
        bench.settle();
        assert_eq!(bench.status(999 + number), Some(200));
    }
}

fn check_known(bench: &mut Bench, keys: u64) {
    let before = begun_and_taken(bench);
    bench.submit(keys, &plan("v1", None, 1, "catalogue"));
    bench.submit(keys + 1, &plan("v1", None, 2, "catalogue"));
    bench.submit(keys + 2, &plan("x", Some("v1"), 1, "catalogue"));
    bench.settle();
    let statuses = [bench.status(keys), bench.status(keys + 1), bench.status(keys + 2)];
    assert_eq!(statuses, [Some(200), Some(409), Some(409)]);
    assert_eq!(begun_and_taken(bench), before, "a known order was begun again");
}

#[test]
fn of_eight_at_once_on_one_base_one_is_taken_and_each_keeps_its_answer() {
    let mut bench = Bench::serving();
    for key in 1..=8 {
        bench.submit(key, &plan("v1", None, key as usize, "catalogue"));
    }
    bench.settle();
    let statuses: Vec<_> = (1..=8).map(|key| bench.status(key)).collect();
    assert_eq!(statuses.iter().filter(|status| **status == Some(200)).count(), 1);
    assert_eq!(statuses.iter().filter(|status| **status == Some(409)).count(), 7);
    for number in 2..6 {
        let base = format!("v{}", number - 1);
        bench.submit(100 + number, &plan(&format!("v{number}"), Some(&base), 1, "catalogue"));
        bench.settle();
    }
    for key in 1..=8 {
        bench.submit(20 + key, &plan("v1", None, key as usize, "catalogue"));
    }
    bench.settle();
    let again: Vec<_> = (21..=28).map(|key| bench.status(key)).collect();
    assert_eq!(again, statuses);
    assert_eq!(begun_and_taken(&bench), (5, 5));
}

#[test]
fn a_taken_order_is_acknowledged_with_its_offsets_after_others_were_built_on_it() {
    let mut bench = Bench::serving();
    built(&mut bench, 5);
    let first = body(&bench, 1_000);
    bench.submit(1, &plan("v1", None, 1, "catalogue"));
    bench.settle();
    let again = body(&bench, 1);
    let offsets = |text: &str| {
        let from = text.find("\"beganAt\"").unwrap();
        text[from..text.find(",\"rehearsal\"").unwrap()].to_string()
    };
    assert_eq!(offsets(&again), offsets(&first));
    assert!(first.contains("\"inForce\":true") && again.contains("\"inForce\":false"), "{again}");
    check_known(&mut bench, 10);
}

#[test]
fn one_order_by_three_paths_is_begun_once_and_acknowledged_by_each() {
    let mut bench = Bench::serving();
    let text = plan("v1", None, 6_000, "catalogue");
    for key in 1..=3 {
        bench.submit(key, &text);
    }
    assert_eq!(bench.answer(2), None, "answered before the close");
    bench.settle();
    let statuses = [bench.status(1), bench.status(2), bench.status(3)];
    assert_eq!(statuses, [Some(200); 3]);
    assert_eq!(begun_and_taken(&bench), (1, 1));
}

#[test]
fn an_order_is_known_to_a_leader_that_has_only_the_log() {
    let mut bench = Bench::serving();
    built(&mut bench, 3);
    let term = bench.node.consensus().term();
    let mut next = Bench::new(recovered(&[1], bench.entries.clone(), term));
    next.lead();
    assert_eq!(next.state().plan_version(), Some("v3"));
    check_known(&mut next, 1);
}

#[test]
fn an_order_is_known_to_a_leader_that_has_only_a_snapshot() {
    let mut bench = Bench::serving();
    bench.bound(1);
    built(&mut bench, 3);
    bench.tick(20);
    let snapshot = bench.snapshot.take().expect("a snapshot was encoded");
    let term = bench.node.consensus().term();
    let entries =
        bench.entries.iter().filter(|entry| entry.index > snapshot.index).cloned().collect();
    let snapshot = Some(Arc::new(snapshot));
    let mut next = Bench::new(RecoveredState { term, voted_for: None, snapshot, entries });
    next.lead();
    assert_eq!(next.state().plan_version(), Some("v3"));
    check_known(&mut next, 1);
}

#[test]
fn an_order_cut_off_by_a_new_leader_has_no_clear_answer_and_is_taken_once() {
    let mut bench = Bench::serving();
    built(&mut bench, 1);
    let text = plan("v2", Some("v1"), 1, "catalogue");
    bench.submit(2, &text);
    bench.is_deposed_by(Record::Number { name: "n".into(), value: 4 });
    assert_eq!(bench.answer(2), Some(&Response::Lost));
    assert!(bench.state().accepted_plan("v2").is_none());
    bench.lead();
    bench.submit(3, &text);
    bench.submit(4, &text);
    bench.settle();
    assert_eq!((bench.status(3), bench.status(4)), (Some(200), Some(200)));
    assert_eq!(bench.state().accepted_plans.len(), 2);
}

/// Every copy may still be taken after an abort for want of time, so none is told a refusal.
#[test]
fn an_order_that_ran_out_of_time_is_not_refused_and_a_late_copy_is_taken_once() {
    let mut bench = Bench::serving();
    let text = plan("v1", None, 6_000, "catalogue");
    bench.submit(1, &text);
    bench.submit(1, &text);
    bench.submit(2, &text);
    for _ in 0..TRANSACTION_OPEN_MS / 20 + 1 {
        bench.tick(20);
    }
    assert_eq!(bench.answer(1), Some(&Response::Duplicate), "told before the abort is committed");
    assert_eq!(bench.answer(2), None, "told before the abort is committed");
    for _ in 0..3 {
        bench.sync();
    }
    assert_eq!(bench.answer(1), Some(&Response::TimedOut));
    bench.submit(1, &text);
    bench.settle();
    assert_eq!((bench.status(1), bench.status(2)), (Some(200), Some(200)));
    assert_eq!(begun_and_taken(&bench), (2, 1));
    assert_eq!(bench.state().accepted_plans.len(), 1);
}

#[test]
fn an_order_refused_for_a_base_to_come_stays_refused_when_it_came() {
    let mut bench = Bench::serving();
    built(&mut bench, 1);
    let text = plan("v3", Some("v2"), 1, "catalogue");
    bench.submit(1, &text);
    assert_eq!(bench.answer(1), None, "told before the refusal is committed");
    bench.settle();
    assert_eq!(bench.status(1), Some(409));
    bench.submit(2, &plan("v2", Some("v1"), 1, "catalogue"));
    bench.settle();
    bench.submit(1, &text);
    bench.settle();
    assert_eq!(bench.status(1), Some(409), "a late copy took effect after its refusal");
    let term = bench.node.consensus().term();
    let mut next = Bench::new(recovered(&[1], bench.entries.clone(), term));
    next.lead();
    next.list(&[("catalogue-1", "catalogue")]);
    next.submit(1, &text);
    next.submit(2, &plan("v3", Some("v2"), 2, "catalogue"));
    next.settle();
    assert_eq!((next.status(1), next.status(2)), (Some(409), Some(200)));
}

#[test]
fn a_dry_run_takes_nothing_and_the_same_order_is_taken_after_it() {
    let mut bench = Bench::serving();
    let text = plan("v1", None, 1, "catalogue");
    bench.ask(1, Request::Submit(Submission { dry_run: true, ..submission(&text) }));
    bench.settle();
    assert!(bench.state().accepted_plans.is_empty());
    bench.submit(2, &text);
    bench.settle();
    assert_eq!((bench.status(1), bench.status(2)), (Some(200), Some(200)));
    assert_eq!(bench.state().accepted_plans.len(), 1);
}
