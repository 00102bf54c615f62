//! What the log keeps it keeps for its time; what it has no space for is shed.

mod bench;
use bench::*;
use postbarrow_consensus::{RecoveredState, Snapshot};
use postbarrow_constants::coordination::*;
use postbarrow_messages::{Request, Response};
use postbarrow_state::*;
use std::sync::Arc;

fn from_state(state: State) -> Bench {
    let state = rmp_serde::to_vec(&(state, 0u64)).unwrap();
    let snapshot = Snapshot { index: 0, term: 0, members: vec![member(1)], state };
    let snapshot = Some(Arc::new(snapshot));
    let mut bench = Bench::new(RecoveredState { snapshot, ..RecoveredState::default() });
    bench.lead();
    bench.list(&[("ledger-1", "ledger")]);
    bench.fresh(5);
    bench.settle();
    bench
}

fn ran(key: &str, response: Option<StoredResponse>) -> Request {
    Request::Settle { ticket: ticket(key, 1), settlement: Settlement::Ran, response }
}

fn kept(bytes: usize) -> StoredResponse {
    StoredResponse { status: 200, headers: Vec::new(), body: vec![1; bytes] }
}

#[test]
fn a_key_lasts_its_time_over_changes_of_controller_and_no_longer_than_it_must() {
    let mut bench = Bench::serving();
    bench.ask(1, Request::Ticket(ticket("k", 1)));
    bench.settle();
    bench.ask(2, ran("k", None));
    bench.settle();
    let mut passed_ms = 0;
    let mut term = 1;
    while !bench.state().tickets.is_empty() {
        assert!(passed_ms < TICKET_RETENTION_MS + 12 * ERA_MS, "kept for ever");
        for _ in 0..100 {
            bench.tick(2_000);
            bench.sync();
            passed_ms += 2_000;
            let kept = bench.state().tickets.contains_key("k");
            assert!(kept || passed_ms >= TICKET_RETENTION_MS, "forgotten after {passed_ms} ms");
        }
        term += 1;
        let entries = bench.entries.clone();
        let mut next = Bench::new(recovered(&[1], entries.clone(), term));
        next.entries = entries;
        next.now_ms = bench.now_ms;
        bench = next;
        bench.lead();
        passed_ms += 2_000;
    }
}

#[test]
fn when_tickets_fill_the_log_new_keys_are_shed_and_old_ones_stay() {
    let mut state = State::default();
    for at in 0..TICKETS {
        let key = Name::from(format!("old-{at}"));
        let known = Ticket { settlement: Some(Settlement::Ran), ..ticket(&key, 1) };
        state.tickets.insert(key, Arc::new(known));
    }
    let mut bench = from_state(state);
    bench.ask(1, Request::Ticket(ticket("new", 1)));
    bench.ask(2, Request::Ticket(ticket("old-7", 3)));
    bench.settle();
    assert_eq!(bench.answer(1), Some(&Response::Full));
    assert!(matches!(bench.answer(2), Some(Response::Known(_))), "{:?}", bench.answer(2));
    assert_eq!(bench.state().tickets.len(), TICKETS, "none was dropped before its time");
    bench.ask(3, Request::Status);
    let Some(Response::Operator { body, .. }) = bench.answer(3) else { panic!("no status") };
    assert!(String::from_utf8_lossy(body).contains("\"shed\":1"), "it is seen in status");
}

#[test]
fn kept_responses_have_one_bound_in_all_and_the_key_is_kept_without() {
    let state = State { stored_response_bytes: STORED_RESPONSES_BYTES - 1_500, ..State::default() };
    let mut bench = from_state(state);
    for (at, key) in ["a", "b"].into_iter().enumerate() {
        bench.ask(at as u64, Request::Ticket(ticket(key, 1)));
        bench.settle();
        bench.ask(10 + at as u64, ran(key, Some(kept(1_000))));
        bench.settle();
    }
    let response = |key: &str| bench.state().tickets[key].response.is_some();
    assert_eq!((response("a"), response("b")), (true, false));
    assert_eq!(bench.state().tickets["b"].settlement, Some(Settlement::Ran));
    assert_eq!(bench.state().stored_response_bytes, STORED_RESPONSES_BYTES - 500);
}

#[test]
fn forgotten_responses_give_their_bytes_back() {
    let mut bench = Bench::serving();
    bench.ask(1, Request::Ticket(ticket("k", 1)));
    bench.ask(2, ran("k", Some(kept(700))));
    bench.ask(3, ran("k", Some(kept(700))));
    bench.settle();
    assert_eq!(bench.state().stored_response_bytes, 700);
    bench.tick(TICKET_RETENTION_MS + 2 * ERA_MS);
    bench.settle();
    bench.tick(RETENTION_MS);
    bench.settle();
    assert_eq!((bench.state().tickets.len(), bench.state().stored_response_bytes), (0, 0));
}

#[test]
fn calls_that_change_anything_are_shed_while_too_many_are_remembered() {
    let mut state = State::default();
    for at in 0..STORED_RESULTS {
        state.repeats.insert(Name::from(format!("r{at}")), Arc::new(Outcome::Freed));
    }
    let mut bench = from_state(state);
    let next = Call::Next { name: "n".into(), by: 1 };
    bench.ask(1, Request::Call { id: Some("new".into()), call: next.clone() });
    bench.ask(2, Request::Call { id: Some("r3".into()), call: next });
    bench.ask(3, Request::Call { id: None, call: Call::ReadNumber { name: "n".into() } });
    bench.settle();
    assert_eq!(bench.answer(1), Some(&Response::Full));
    assert_eq!(bench.answer(2), Some(&Response::Outcome(Outcome::Freed)), "known ones are told");
    assert_eq!(bench.answer(3), Some(&Response::Outcome(Outcome::Number(0))));
}

#[test]
fn a_remembered_call_is_forgotten_in_time_however_often_controllers_change() {
    let mut bench = Bench::serving();
    let call = Call::Next { name: "n".into(), by: 1 };
    bench.ask(1, Request::Call { id: Some("once".into()), call });
    bench.settle();
    let mut passed_ms = 0;
    while bench.state().repeats.contains_key("once") {
        assert!(passed_ms < STORED_RESULT_RETENTION_MS + 12 * ERA_MS, "remembered for ever");
        for _ in 0..22 {
            bench.tick(2_000);
            bench.sync();
            passed_ms += 2_000;
        }
        let (entries, term) = (bench.entries.clone(), passed_ms / 1_000);
        let mut next = Bench::new(recovered(&[1], entries.clone(), term));
        (next.entries, next.now_ms) = (entries, bench.now_ms);
        bench = next;
        bench.lead();
        passed_ms += 2_000;
    }
    assert!(passed_ms >= STORED_RESULT_RETENTION_MS, "forgotten after {passed_ms} ms");
    assert!(bench.state().repeat_queue.is_empty());
}
