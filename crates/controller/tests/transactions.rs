//! Transactions that commit plans: atomic visibility, size and time limits, aborts and changes of
//! leader.

mod harness;
use harness::*;
use postbarrow_consensus::{Entry, Payload};
use postbarrow_constants::plans::TRANSACTION_OPEN_MS;
use postbarrow_messages::*;
use postbarrow_state::{Call, Outcome, Record};
use postbarrow_transactions::{BatchRecord, encode};

fn markers(harness: &Harness) -> Vec<String> {
    let mut markers = Vec::new();
    for record in &harness.records {
        match record {
            BatchRecord::Begin { name } => {
                markers.push(format!("Begin {}", name.as_deref().unwrap_or("")))
            }
            BatchRecord::End => markers.push("End".into()),
            BatchRecord::Abort { reason } => {
                markers.push(format!("Abort {}", reason.as_deref().unwrap_or("")))
            }
            BatchRecord::Data(_) => {}
        }
    }
    markers
}

#[test]
fn a_plan_of_many_batches_is_visible_only_at_its_committed_end() {
    let mut harness = Harness::serving();
    harness.submit(1, &plan("v1", None, 6_000, "catalogue"));
    let mut steps = 0;
    while harness.response(1).is_none() {
        assert_eq!(harness.state().plan_version(), None, "the plan is visible before its End");
        harness.sync();
        steps += 1;
    }
    assert!(steps > 1, "one sync committed all batches, so visibility was not tested");
    assert_eq!(harness.status(1), Some(200));
    assert_eq!(harness.state().plan_version(), Some("v1"));
    assert_eq!(harness.state().routes.len(), 6_000);
    assert_eq!(harness.state().plan_text(), plan("v1", None, 6_000, "catalogue").into_bytes());
    assert_eq!(markers(&harness), ["Begin plan v1", "End"]);
}

#[test]
fn an_overdue_transaction_is_aborted_and_waiting_requests_proceed() {
    let mut harness = Harness::serving();
    harness.submit(1, &plan("v1", None, 6_000, "catalogue"));
    harness.request(2, Request::Ticket(ticket("k", 1)));
    let before = harness.records.len();
    for _ in 0..TRANSACTION_OPEN_MS / 20 - 1 {
        harness.tick(20);
    }
    assert_eq!(harness.records.len(), before, "a ticket was interleaved with the open transaction");
    harness.tick(20);
    harness.tick(20);
    assert_eq!(markers(&harness), ["Begin plan v1", "Abort the transaction was open too long"]);
    harness.sync();
    harness.run_until_idle();
    assert_eq!(
        harness.response(1),
        Some(&Response::TimedOut),
        "another copy may still be accepted"
    );
    assert_eq!(harness.response(2), Some(&Response::Granted));
    assert_eq!(harness.state().plan_version(), None);
    assert_eq!(harness.state().routes.len(), 0);
    assert!(
        (480..=560).contains(&harness.node.longest_stall_ms()),
        "longest stall: {} ms",
        harness.node.longest_stall_ms()
    );
}

#[test]
fn a_plan_over_the_delta_size_limit_is_refused_before_it_is_written() {
    let mut harness = Harness::serving();
    let mut huge = submission(&plan("v1", None, 1, "catalogue"));
    huge.records.extend((0..600).map(|_| Record::PlanText(vec![32; 16 * 1024])));
    harness.request(1, Request::Submit(huge));
    let records_before = harness.records.len();
    harness.run_until_idle();
    let Some(Response::Operator { status: 413, body }) = harness.response(1) else {
        panic!("the plan is not refused: {:?}", harness.response(1))
    };
    assert!(String::from_utf8_lossy(body).contains("over the bound of 8388608 bytes"));
    assert_eq!(harness.records.len(), records_before, "a refused plan was written to the log");
    assert_eq!(markers(&harness), [""; 0]);
    assert_eq!(harness.state().plan_version(), None);
    harness.submit(2, &plan("v1", None, 1, "catalogue"));
    harness.run_until_idle();
    assert_eq!(harness.status(2), Some(200), "a plan is accepted after a refusal");
}

fn unfinished_plan_entries() -> Vec<Entry> {
    let records = [
        BatchRecord::begin("plan v9"),
        BatchRecord::Data(Record::PlanStart { version: "v9".into(), base: None }),
    ];
    let batch = |index, records: &[BatchRecord<Record>]| Entry {
        term: 1,
        index,
        payload: Payload::Batch(encode(records)),
    };
    vec![batch(1, &records), batch(2, &[BatchRecord::Data(Record::PlanText(vec![65]))])]
}

#[test]
fn a_new_leader_aborts_the_open_transaction_of_its_predecessor() {
    let mut harness = Harness::new(recovered(&[1], unfinished_plan_entries(), 1));
    harness.become_leader();
    assert_eq!(markers(&harness), ["Abort the controller that began it is gone"]);
    assert_eq!(harness.state().plan_version(), None);
    assert!(harness.state().plan_text.is_empty());
    assert!(!harness.node.tail().has_open_transaction());
}

#[test]
fn a_deposed_leader_returns_to_its_committed_state_and_applies_the_new_terms_entries() {
    let mut harness = Harness::serving();
    harness.submit(1, &plan("v1", None, 1, "catalogue"));
    harness.run_until_idle();
    harness.submit(2, &plan("v2", Some("v1"), 6_000, "catalogue"));
    harness.request(3, Request::Ticket(ticket("k", 1)));
    harness.depose_with(Record::Number { name: "n".into(), value: 4 });
    assert!(!harness.node.is_leading());
    assert_eq!(harness.response(2), Some(&Response::Lost));
    assert_eq!(harness.response(3), Some(&Response::NotController { controller: None }));
    assert_eq!(harness.state().plan_version(), Some("v1"));
    assert_eq!(harness.state().numbers.get("n"), Some(&4), "the new term's entry is replayed");
    assert!(!harness.node.tail().has_open_transaction(), "the uncommitted entries are dropped");
}

#[test]
fn of_plans_on_one_base_one_is_accepted_and_its_repeat_is_acknowledged() {
    let mut harness = Harness::serving();
    harness.submit(1, &plan("v1", None, 1, "catalogue"));
    harness.submit(2, &plan("v2", None, 1, "catalogue"));
    harness.run_until_idle();
    assert_eq!((harness.status(1), harness.status(2)), (Some(200), Some(409)));
    harness.submit(3, &plan("v1", None, 1, "catalogue"));
    harness.submit(4, &plan("v1", None, 2, "catalogue"));
    harness.run_until_idle();
    assert_eq!((harness.status(3), harness.status(4)), (Some(200), Some(409)));
    let Some(Response::Operator { body, .. }) = harness.response(4) else { panic!("no response") };
    assert!(String::from_utf8_lossy(body).contains("\"versionInForce\":\"v1\""));
    assert_eq!(harness.state().routes.len(), 1);
}

#[test]
fn a_service_without_target_is_refused_and_a_dry_run_changes_nothing() {
    let mut harness = Harness::serving();
    harness.submit(1, &plan("v1", None, 1, "nobody"));
    let mut dry = submission(&plan("v1", None, 1, "catalogue"));
    dry.dry_run = true;
    harness.request(2, Request::Submit(dry));
    harness.run_until_idle();
    assert_eq!((harness.status(1), harness.status(2)), (Some(422), Some(200)));
    let Some(Response::Operator { body, .. }) = harness.response(2) else { panic!("no response") };
    let body = String::from_utf8_lossy(body).into_owned();
    assert!(body.contains("\"routesAdded\":[\"GET /r0\"]"), "{body}");
    assert!(body.contains("\"liveBefore\":0,\"liveAfter\":1"), "{body}");
    assert_eq!(harness.state().plan_version(), None);
    let mut empty = submission(&plan("v1", None, 1, "nobody"));
    empty.allow_empty = true;
    harness.request(3, Request::Submit(empty));
    harness.run_until_idle();
    assert_eq!(harness.status(3), Some(200));
    assert_eq!(harness.state().plan_version(), Some("v1"));
}

#[test]
fn a_repeat_of_a_waiting_request_is_a_duplicate_and_the_first_runs_once() {
    let mut harness = Harness::serving();
    let text = plan("v1", None, 6_000, "catalogue");
    let next = || Request::Call { id: None, call: Call::Next { name: "n".into(), by: 1 } };
    harness.submit(1, &text);
    harness.request(2, next());
    assert_eq!(harness.response(2), None, "the call did not wait for the open plan");
    harness.request(2, next());
    assert_eq!(harness.response(2), Some(&Response::Duplicate));
    harness.submit(1, &text);
    assert_eq!(harness.response(1), Some(&Response::Duplicate), "the open plan's own request");
    harness.run_until_idle();
    assert_eq!(harness.status(1), Some(200));
    assert_eq!(harness.response(2), Some(&Response::Outcome(Outcome::Number(1))));
}
