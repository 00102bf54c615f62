mod bench;
use bench::*;
use postbarrow_consensus::{Entry, Payload};
use postbarrow_constants::plans::TRANSACTION_OPEN_MS;
use postbarrow_messages::*;
use postbarrow_state::{Call, Outcome, Record};
use postbarrow_transactions::{BatchRecord, encode};

fn markers(bench: &Bench) -> Vec<String> {
    let mut told = Vec::new();
    for line in &bench.lines {
        match line {
            BatchRecord::Begin { name } => {
                told.push(format!("Begin {}", name.as_deref().unwrap_or("")))
            }
            BatchRecord::End => told.push("End".into()),
            BatchRecord::Abort { reason } => {
                told.push(format!("Abort {}", reason.as_deref().unwrap_or("")))
            }
            BatchRecord::Data(_) => {}
        }
    }
    told
}

#[test]
fn a_plan_of_many_batches_is_visible_only_at_its_committed_end() {
    let mut bench = Bench::serving();
    bench.submit(1, &plan("v1", None, 6_000, "catalogue"));
    let mut steps = 0;
    while bench.answer(1).is_none() {
        assert_eq!(bench.state().plan_version(), None, "seen before its end");
        bench.sync();
        steps += 1;
    }
    assert!(steps > 1, "one sync held it all: nothing was tested");
    assert_eq!(bench.status(1), Some(200));
    assert_eq!(bench.state().plan_version(), Some("v1"));
    assert_eq!(bench.state().routes.len(), 6_000);
    assert_eq!(bench.state().plan_text(), plan("v1", None, 6_000, "catalogue").into_bytes());
    assert_eq!(markers(&bench), ["Begin plan v1", "End"]);
}

#[test]
fn one_open_too_long_is_aborted_and_what_waited_goes_on() {
    let mut bench = Bench::serving();
    bench.submit(1, &plan("v1", None, 6_000, "catalogue"));
    bench.ask(2, Request::Ticket(ticket("k", 1)));
    let before = bench.lines.len();
    for _ in 0..TRANSACTION_OPEN_MS / 20 - 1 {
        bench.tick(20);
    }
    assert_eq!(bench.lines.len(), before, "a ticket was interleaved");
    bench.tick(20);
    bench.tick(20);
    assert_eq!(markers(&bench), ["Begin plan v1", "Abort the transaction was open too long"]);
    bench.sync();
    bench.settle();
    assert_eq!(bench.answer(1), Some(&Response::TimedOut), "another copy may still be taken");
    assert_eq!(bench.answer(2), Some(&Response::Granted));
    assert_eq!(bench.state().plan_version(), None);
    assert_eq!(bench.state().routes.len(), 0);
    assert!((480..=560).contains(&bench.node.stall_ms()), "{}", bench.node.stall_ms());
}

#[test]
fn a_delta_over_its_bound_is_aborted() {
    let mut bench = Bench::serving();
    let mut huge = submission(&plan("v1", None, 1, "catalogue"));
    huge.records.extend((0..600).map(|_| Record::PlanText(vec![32; 16 * 1024])));
    bench.ask(1, Request::Submit(huge));
    bench.settle();
    assert_eq!(bench.status(1), Some(413));
    assert!(markers(&bench)[1].contains("over the bound"));
    assert_eq!(bench.state().plan_version(), None);
    bench.submit(2, &plan("v1", None, 1, "catalogue"));
    bench.settle();
    assert_eq!(bench.status(2), Some(200), "the controller goes on after an abort");
}

fn half_a_plan() -> Vec<Entry> {
    let lines = [
        BatchRecord::begin("plan v9"),
        BatchRecord::Data(Record::PlanStart { version: "v9".into(), base: None }),
    ];
    let batch = |index, lines: &[BatchRecord<Record>]| Entry {
        term: 1,
        index,
        payload: Payload::Batch(encode(lines)),
    };
    vec![batch(1, &lines), batch(2, &[BatchRecord::Data(Record::PlanText(vec![65]))])]
}

#[test]
fn a_new_controller_aborts_what_a_dead_one_left_open() {
    let mut bench = Bench::new(recovered(&[1], half_a_plan(), 1));
    bench.lead();
    assert_eq!(markers(&bench), ["Abort the controller that began it is gone"]);
    assert_eq!(bench.state().plan_version(), None);
    assert!(bench.state().plan_text.is_empty());
    assert!(!bench.node.tail().is_open());
}

#[test]
fn a_deposed_controller_drops_to_its_committed_state_and_replays() {
    let mut bench = Bench::serving();
    bench.submit(1, &plan("v1", None, 1, "catalogue"));
    bench.settle();
    bench.submit(2, &plan("v2", Some("v1"), 6_000, "catalogue"));
    bench.ask(3, Request::Ticket(ticket("k", 1)));
    bench.is_deposed_by(Record::Number { name: "n".into(), value: 4 });
    assert!(!bench.node.is_leading());
    assert_eq!(bench.answer(2), Some(&Response::Lost));
    assert_eq!(bench.answer(3), Some(&Response::NotController { controller: None }));
    assert_eq!(bench.state().plan_version(), Some("v1"));
    assert_eq!(bench.state().numbers.get("n"), Some(&4), "the new term's entry is replayed");
    assert!(!bench.node.tail().is_open(), "the tail it wrote alone is cut");
}

#[test]
fn of_plans_on_one_base_one_is_acknowledged_and_again_means_the_same_yes() {
    let mut bench = Bench::serving();
    bench.submit(1, &plan("v1", None, 1, "catalogue"));
    bench.submit(2, &plan("v2", None, 1, "catalogue"));
    bench.settle();
    assert_eq!((bench.status(1), bench.status(2)), (Some(200), Some(409)));
    bench.submit(3, &plan("v1", None, 1, "catalogue"));
    bench.submit(4, &plan("v1", None, 2, "catalogue"));
    bench.settle();
    assert_eq!((bench.status(3), bench.status(4)), (Some(200), Some(409)));
    let Some(Response::Operator { body, .. }) = bench.answer(4) else { panic!("no answer") };
    assert!(String::from_utf8_lossy(body).contains("\"versionInForce\":\"v1\""));
    assert_eq!(bench.state().routes.len(), 1);
}

#[test]
fn a_rehearsal_refuses_a_service_without_target_and_a_dry_run_leaves_nothing() {
    let mut bench = Bench::serving();
    bench.submit(1, &plan("v1", None, 1, "nobody"));
    let mut dry = submission(&plan("v1", None, 1, "catalogue"));
    dry.dry_run = true;
    bench.ask(2, Request::Submit(dry));
    bench.settle();
    assert_eq!((bench.status(1), bench.status(2)), (Some(422), Some(200)));
    let Some(Response::Operator { body, .. }) = bench.answer(2) else { panic!("no answer") };
    let told = String::from_utf8_lossy(body).into_owned();
    assert!(told.contains("\"routesAdded\":[\"GET /r0\"]"), "{told}");
    assert!(told.contains("\"liveBefore\":0,\"liveAfter\":1"), "{told}");
    assert_eq!(bench.state().plan_version(), None);
    let mut empty = submission(&plan("v1", None, 1, "nobody"));
    empty.allow_empty = true;
    bench.ask(3, Request::Submit(empty));
    bench.settle();
    assert_eq!(bench.status(3), Some(200));
    assert_eq!(bench.state().plan_version(), Some("v1"));
}

#[test]
fn a_repeat_of_a_waiting_question_is_told_that_it_was_dropped_and_the_first_is_done_once() {
    let mut bench = Bench::serving();
    let text = plan("v1", None, 6_000, "catalogue");
    let next = || Request::Call { id: None, call: Call::Next { name: "n".into(), by: 1 } };
    bench.submit(1, &text);
    bench.ask(2, next());
    assert_eq!(bench.answer(2), None, "it waits for the open plan");
    bench.ask(2, next());
    assert_eq!(bench.answer(2), Some(&Response::Duplicate));
    bench.submit(1, &text);
    assert_eq!(bench.answer(1), Some(&Response::Duplicate), "the open plan's own question");
    bench.settle();
    assert_eq!(bench.status(1), Some(200));
    assert_eq!(bench.answer(2), Some(&Response::Outcome(Outcome::Number(1))));
}
