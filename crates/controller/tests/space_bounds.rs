//! Retention times of records, and the requests that are shed at the storage limits.

mod harness;
use harness::*;
use postbarrow_consensus::{Payload, RecoveredState, Snapshot};
use postbarrow_constants::coordination::*;
use postbarrow_constants::plans::BATCH_BYTES;
use postbarrow_messages::{Request, Response};
use postbarrow_state::*;
use postbarrow_transactions::{BatchRecord, decode, messagepack_bytes};
use std::sync::Arc;

fn harness_with_state(state: State) -> Harness {
    let state = rmp_serde::to_vec(&(state, 0u64)).unwrap();
    let snapshot = Snapshot { index: 0, term: 0, members: vec![member(1)], state };
    let snapshot = Some(Arc::new(snapshot));
    let mut harness = Harness::new(RecoveredState { snapshot, ..RecoveredState::default() });
    harness.become_leader();
    harness.answer_list(&[("ledger-1", "ledger")]);
    harness.renew_lease(5);
    harness.run_until_idle();
    harness
}

fn settled_as_ran(key: &str, response: Option<StoredResponse>) -> Request {
    Request::Settle { ticket: ticket(key, 1), settlement: Settlement::Ran, response }
}

fn stored_response(body_bytes: usize) -> StoredResponse {
    StoredResponse { status: 200, headers: Vec::new(), body: vec![1; body_bytes] }
}

#[test]
fn a_settled_key_is_retained_for_its_retention_time_across_changes_of_leader() {
    let mut harness = Harness::serving();
    harness.request(1, Request::Ticket(ticket("k", 1)));
    harness.run_until_idle();
    harness.request(2, settled_as_ran("k", None));
    harness.run_until_idle();
    let mut elapsed_ms = 0;
    let mut term = 1;
    while !harness.state().tickets.is_empty() {
        assert!(elapsed_ms < TICKET_RETENTION_MS + 12 * ERA_MS, "the key is never removed");
        for _ in 0..100 {
            harness.tick(2_000);
            harness.sync();
            elapsed_ms += 2_000;
            let retained = harness.state().tickets.contains_key("k");
            assert!(retained || elapsed_ms >= TICKET_RETENTION_MS, "removed after {elapsed_ms} ms");
        }
        term += 1;
        let entries = harness.entries.clone();
        let mut restarted = Harness::new(recovered(&[1], entries.clone(), term));
        restarted.entries = entries;
        restarted.now_ms = harness.now_ms;
        harness = restarted;
        harness.become_leader();
        elapsed_ms += 2_000;
    }
}

#[test]
fn at_the_ticket_limit_new_keys_are_shed_and_old_ones_retained() {
    let mut state = State::default();
    for at in 0..TICKETS_MAX {
        let key = Name::from(format!("old-{at}"));
        let known = Ticket { settlement: Some(Settlement::Ran), ..ticket(&key, 1) };
        state.tickets.insert(key, Arc::new(known));
    }
    let mut harness = harness_with_state(state);
    harness.request(1, Request::Ticket(ticket("new", 1)));
    harness.request(2, Request::Ticket(ticket("old-7", 3)));
    harness.run_until_idle();
    assert_eq!(harness.response(1), Some(&Response::Full));
    assert!(
        matches!(harness.response(2), Some(Response::Known(_))),
        "an old key: {:?}",
        harness.response(2)
    );
    assert_eq!(
        harness.state().tickets.len(),
        TICKETS_MAX,
        "a ticket was removed before its retention ended"
    );
    harness.request(3, Request::Status);
    let Some(Response::Operator { body, .. }) = harness.response(3) else {
        panic!("no status response")
    };
    assert!(
        String::from_utf8_lossy(body).contains("\"shed\":1"),
        "the status does not report the shed request"
    );
}

#[test]
fn over_the_limit_of_stored_response_bytes_a_key_is_settled_without_its_response() {
    let state = State { stored_response_bytes: STORED_RESPONSES_BYTES - 1_500, ..State::default() };
    let mut harness = harness_with_state(state);
    for (at, key) in ["a", "b"].into_iter().enumerate() {
        harness.request(at as u64, Request::Ticket(ticket(key, 1)));
        harness.run_until_idle();
        harness.request(10 + at as u64, settled_as_ran(key, Some(stored_response(1_000))));
        harness.run_until_idle();
    }
    let has_response = |key: &str| harness.state().tickets[key].response.is_some();
    assert_eq!((has_response("a"), has_response("b")), (true, false));
    assert_eq!(harness.state().tickets["b"].settlement, Some(Settlement::Ran));
    assert_eq!(harness.state().stored_response_bytes, STORED_RESPONSES_BYTES - 500);
}

#[test]
fn removed_responses_no_longer_count_towards_the_stored_bytes() {
    let mut harness = Harness::serving();
    harness.request(1, Request::Ticket(ticket("k", 1)));
    harness.request(2, settled_as_ran("k", Some(stored_response(700))));
    harness.request(3, settled_as_ran("k", Some(stored_response(700))));
    harness.run_until_idle();
    assert_eq!(harness.state().stored_response_bytes, 700);
    harness.tick(TICKET_RETENTION_MS + 2 * ERA_MS);
    harness.run_until_idle();
    harness.tick(RETENTION_INTERVAL_MS);
    harness.run_until_idle();
    assert_eq!((harness.state().tickets.len(), harness.state().stored_response_bytes), (0, 0));
}

#[test]
fn writing_calls_are_shed_at_the_limit_of_stored_outcomes() {
    let mut state = State::default();
    for at in 0..STORED_OUTCOMES_MAX {
        state.stored_outcomes.insert(Name::from(format!("r{at}")), Arc::new(Outcome::Freed));
    }
    let mut harness = harness_with_state(state);
    let next = Call::Next { name: "n".into(), by: 1 };
    harness.request(1, Request::Call { id: Some("new".into()), call: next.clone() });
    harness.request(2, Request::Call { id: Some("r3".into()), call: next });
    harness.request(3, Request::Call { id: None, call: Call::ReadNumber { name: "n".into() } });
    harness.run_until_idle();
    assert_eq!(harness.response(1), Some(&Response::Full));
    assert_eq!(
        harness.response(2),
        Some(&Response::Outcome(Outcome::Freed)),
        "a repeat gets its stored outcome"
    );
    assert_eq!(harness.response(3), Some(&Response::Outcome(Outcome::Number(0))));
}

#[test]
fn a_stored_outcome_is_removed_after_its_retention_across_changes_of_leader() {
    let mut harness = Harness::serving();
    let call = Call::Next { name: "n".into(), by: 1 };
    harness.request(1, Request::Call { id: Some("once".into()), call });
    harness.run_until_idle();
    let mut elapsed_ms = 0;
    while harness.state().stored_outcomes.contains_key("once") {
        assert!(
            elapsed_ms < STORED_OUTCOME_RETENTION_MS + 12 * ERA_MS,
            "the outcome is never removed"
        );
        for _ in 0..22 {
            harness.tick(2_000);
            harness.sync();
            elapsed_ms += 2_000;
        }
        let (entries, term) = (harness.entries.clone(), elapsed_ms / 1_000);
        let mut restarted = Harness::new(recovered(&[1], entries.clone(), term));
        (restarted.entries, restarted.now_ms) = (entries, harness.now_ms);
        harness = restarted;
        harness.become_leader();
        elapsed_ms += 2_000;
    }
    assert!(elapsed_ms >= STORED_OUTCOME_RETENTION_MS, "removed after {elapsed_ms} ms");
    assert!(harness.state().stored_outcome_queue.is_empty());
}

/// Guards against a batch that exceeds a frame and so never reaches the other members: a leader
/// once settled all open tickets of departed nodes in one batch.
#[test]
fn open_tickets_of_departed_nodes_are_settled_in_batches_of_bounded_size() {
    const OPEN_TICKETS: usize = 3_000;
    let mut state = State::default();
    for at in 0..OPEN_TICKETS {
        let key = Name::from(format!("{at:0>TICKET_KEY_BYTES$}"));
        state.tickets.insert(key.clone(), Arc::new(ticket(&key, 1)));
    }
    let harness = harness_with_state(state);
    let is_settled = |known: &Arc<Ticket>| known.settlement == Some(Settlement::Unknown);
    assert!(harness.state().tickets.values().all(is_settled));
    let settlements = harness
        .records
        .iter()
        .filter(|record| matches!(record, BatchRecord::Data(Record::Settled { .. })));
    assert_eq!(settlements.count(), OPEN_TICKETS);
    for entry in &harness.entries {
        let Payload::Batch(bytes) = &entry.payload else { continue };
        let batch: Vec<BatchRecord<Record>> = decode(bytes).unwrap();
        let record_bytes: usize = batch.iter().map(data_bytes).sum();
        assert!(record_bytes <= BATCH_BYTES, "entry {}: {record_bytes} bytes", entry.index);
    }
}

fn data_bytes(record: &BatchRecord<Record>) -> usize {
    match record {
        BatchRecord::Data(record) => messagepack_bytes(record),
        _ => 0,
    }
}
