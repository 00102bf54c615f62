//! Work of the leader: tickets, leases, the endpoint list, locks, calls, watches and compaction.

mod harness;
use harness::*;
use postbarrow_constants::coordination::*;
use postbarrow_constants::nodes::*;
use postbarrow_controller::Fetched;
use postbarrow_messages::*;
use postbarrow_state::*;

fn settlement_request(ticket: Ticket, settlement: Settlement) -> Request {
    Request::Settle { ticket, settlement, response: None }
}

fn call(harness: &mut Harness, key: u64, call: Call) -> Response {
    let id = Some(Name::from(format!("id-{key}")));
    harness.request(key, Request::Call { id, call });
    harness.sync();
    harness.sync();
    harness.response(key).cloned().unwrap_or(Response::TimedOut)
}

#[test]
fn a_key_is_granted_to_another_attempt_only_after_a_committed_unsent_settlement() {
    let mut harness = Harness::serving();
    harness.request(1, Request::Ticket(ticket("k", 1)));
    harness.request(2, Request::Ticket(ticket("k", 2)));
    assert_eq!(harness.response(1), None, "no response before the sync");
    harness.run_until_idle();
    assert_eq!(harness.response(1), Some(&Response::Granted));
    assert!(
        matches!(harness.response(2), Some(Response::Known(known)) if known.settlement.is_none())
    );
    harness.request(3, Request::Ticket(ticket("k", 1)));
    harness.run_until_idle();
    assert_eq!(harness.response(3), Some(&Response::Granted), "the same attempt is granted again");
    let mut other = ticket("k", 4);
    other.digest = [2; 32];
    harness.request(4, Request::Ticket(other));
    harness.request(5, settlement_request(ticket("k", 1), Settlement::Unsent));
    harness.request(6, Request::Ticket(ticket("k", 6)));
    assert_eq!(harness.response(6), None, "the settlement is not committed yet");
    harness.run_until_idle();
    assert_eq!(harness.response(4), Some(&Response::OtherDigest));
    assert_eq!(harness.response(6), Some(&Response::Granted));
    harness.request(7, Request::Ticket(ticket("k", 1)));
    harness.run_until_idle();
    assert!(
        matches!(harness.response(7), Some(Response::Known(_))),
        "the former attempt is not granted again"
    );
}

#[test]
fn an_attempt_settled_unsent_before_its_ticket_is_never_granted() {
    let mut harness = Harness::serving();
    harness.request(1, settlement_request(ticket("k", 1), Settlement::Unsent));
    harness.run_until_idle();
    harness.request(2, Request::Ticket(ticket("k", 1)));
    harness.run_until_idle();
    assert!(matches!(harness.response(2), Some(Response::Known(_))));
    harness.request(3, Request::Ticket(ticket("k", 3)));
    harness.run_until_idle();
    assert_eq!(harness.response(3), Some(&Response::Granted));
}

#[test]
fn a_stored_response_is_returned_until_its_retention_ends() {
    let mut harness = Harness::serving();
    harness.request(1, Request::Ticket(ticket("k", 1)));
    harness.run_until_idle();
    let stored = StoredResponse { status: 201, headers: Vec::new(), body: vec![9] };
    let response = Some(stored.clone());
    harness.request(
        2,
        Request::Settle { ticket: ticket("k", 1), settlement: Settlement::Ran, response },
    );
    harness.run_until_idle();
    harness.request(3, Request::Ticket(ticket("k", 3)));
    harness.run_until_idle();
    let Some(Response::Known(known)) = harness.response(3) else { panic!("the key is not known") };
    assert_eq!(known.response.as_deref(), Some(&stored));
    harness.tick(TICKET_RETENTION_MS + 2 * ERA_MS);
    harness.sync();
    harness.tick(RETENTION_INTERVAL_MS);
    harness.sync();
    assert!(harness.state().tickets.is_empty());
}

#[test]
fn open_tickets_of_a_departed_node_are_settled_as_unknown() {
    let mut harness = Harness::serving();
    harness.request(1, Request::Ticket(ticket("k", 1)));
    harness.run_until_idle();
    for _ in 0..NODE_EXPIRY_MS / 20 + 20 {
        harness.tick(20);
        harness.sync();
    }
    assert!(harness.state().nodes.is_empty());
    assert_eq!(harness.state().tickets["k"].settlement, Some(Settlement::Unknown));
    harness.request(2, Request::Ticket(ticket("k2", 2)));
    assert!(
        matches!(harness.response(2), Some(Response::Refused(_))),
        "an unregistered node gets no ticket"
    );
}

#[test]
fn draining_applies_with_its_page_and_absence_only_after_complete_scans() {
    let mut harness = Harness::serving();
    let known_targets =
        |harness: &Harness| harness.state().targets.keys().cloned().collect::<Vec<_>>();
    assert_eq!(known_targets(&harness), ["catalogue-1", "ledger-1", "ledger-2"]);
    harness.answer_page(&[Harness::row("ledger-1", "ledger", true)], Some("1"));
    assert!(harness.state().targets["ledger-1"].draining, "the page is applied at once");
    assert_eq!(known_targets(&harness).len(), 3, "an incomplete scan removes no target");
    harness.answer_fetch(Fetched::Failed("gone".into()));
    assert_eq!(known_targets(&harness).len(), 3, "a failed scan removes no target");
    harness.answer_fetch(Fetched::RateLimited { wait_ms: 1_000 });
    harness.answer_page(&[Harness::row("catalogue-1", "catalogue", false)], None);
    assert_eq!(
        known_targets(&harness).len(),
        3,
        "a missing row may only have shifted to a page read before"
    );
    for _ in 1..LIST_MISSES {
        harness.answer_page(&[Harness::row("ledger-1", "ledger", true)], Some("1"));
        harness.answer_page(&[Harness::row("catalogue-1", "catalogue", false)], None);
    }
    assert_eq!(known_targets(&harness), ["catalogue-1", "ledger-1"]);
}

#[test]
fn an_invalid_page_changes_nothing() {
    let mut harness = Harness::serving();
    let before = harness.state().targets.clone();
    let rows = [Harness::row("new", "ledger", false), "{\"instance\":7}".to_string()];
    harness.answer_page(&rows, None);
    assert_eq!(harness.state().targets, before);
    harness.answer_fetch(Fetched::Page(b"{\"targets\":[".to_vec()));
    assert_eq!(harness.state().targets, before);
}

#[test]
fn no_lease_is_granted_before_the_first_complete_scan_or_its_timeout() {
    let new_leader = || {
        let mut harness = Harness::new(recovered(&[1], Vec::new(), 0));
        while !harness.node.is_leading() {
            harness.tick(20);
            harness.sync();
        }
        harness
    };
    let mut harness = new_leader();
    harness.tick(20);
    assert!(!harness.lease_is_granted(), "the list was not scanned yet");
    harness.answer_list(&[("ledger-1", "ledger")]);
    assert!(harness.lease_is_granted());
    let mut without_list = new_leader();
    for _ in 0..LIST_FIRST_SCAN_WAIT_MS / 20 + 3 {
        without_list.tick(20);
    }
    assert!(without_list.lease_is_granted(), "an unreachable list does not stop the service");
}

#[test]
fn a_lock_has_one_owner_an_increasing_fencing_token_and_its_full_ttl() {
    let mut harness = Harness::serving();
    let lock = |holder: &str| Call::Lock { name: "l".into(), holder: holder.into(), ttl_ms: 1_000 };
    let first = call(&mut harness, 1, lock("a"));
    assert_eq!(first, Response::Outcome(Outcome::Locked { fence: 1, ttl_ms: 1_000 }));
    assert_eq!(
        call(&mut harness, 2, lock("b")),
        Response::Outcome(Outcome::LockedByOther { fence: 1 })
    );
    for _ in 0..45 {
        harness.tick(20);
        harness.sync();
    }
    let renew = Call::Renew { name: "l".into(), holder: "a".into(), fence: 1, ttl_ms: None };
    let renewed = call(&mut harness, 3, renew.clone());
    assert_eq!(renewed, Response::Outcome(Outcome::Locked { fence: 1, ttl_ms: 1_000 }));
    for _ in 0..45 {
        harness.tick(20);
        harness.sync();
    }
    assert!(harness.state().locks.contains_key("l"), "the renewal extends the lock");
    for _ in 0..10 {
        harness.tick(20);
        harness.sync();
    }
    assert!(!harness.state().locks.contains_key("l"), "the lock has expired");
    assert_eq!(call(&mut harness, 4, renew), Response::Outcome(Outcome::NotOwner));
    let second = call(&mut harness, 5, lock("b"));
    assert_eq!(second, Response::Outcome(Outcome::Locked { fence: 2, ttl_ms: 1_000 }));
}

#[test]
fn a_new_leader_restarts_the_full_ttl_of_a_lock() {
    let mut harness = Harness::serving();
    call(&mut harness, 1, Call::Lock { name: "l".into(), holder: "a".into(), ttl_ms: 60_000 });
    let entries = harness.entries.clone();
    let mut restarted = Harness::new(recovered(&[1], entries, harness.node.consensus().term()));
    restarted.now_ms = 9_000_000;
    restarted.become_leader();
    let elected_ms = restarted.now_ms;
    while restarted.state().locks.contains_key("l") {
        restarted.tick(20);
        restarted.sync();
    }
    let owned_ms = restarted.now_ms - elected_ms;
    assert!((57_000..=60_100).contains(&owned_ms), "owned for {owned_ms} ms");
}

#[test]
fn repeats_get_the_first_outcome_and_numbers_only_increase() {
    let mut harness = Harness::serving();
    let next = Call::Next { name: "n".into(), by: 2 };
    assert_eq!(call(&mut harness, 1, next.clone()), Response::Outcome(Outcome::Number(2)));
    assert_eq!(call(&mut harness, 1, next.clone()), Response::Outcome(Outcome::Number(2)));
    assert_eq!(call(&mut harness, 2, next), Response::Outcome(Outcome::Number(4)));
    let put = |revision| Call::Put { name: "k".into(), value: vec![1], revision };
    let Response::Outcome(Outcome::Key(key)) = call(&mut harness, 3, put(Some(0))) else {
        panic!()
    };
    let conflict = Response::Outcome(Outcome::Conflict { revision: key.revision });
    assert_eq!(call(&mut harness, 4, put(Some(0))), conflict);
    assert_eq!(call(&mut harness, 3, put(Some(0))), Response::Outcome(Outcome::Key(key)));
}

#[test]
fn a_watch_gets_all_events_in_order_until_history_is_trimmed() {
    let mut harness = Harness::serving();
    let watch =
        |after| Call::Watch { sort: ResourceKind::Key, prefix: "k".into(), after: Some(after) };
    harness.request(1, Request::Call { id: None, call: watch(0) });
    assert_eq!(harness.response(1), None, "there is no event yet");
    for key in 2..6 {
        let name = if key == 4 { "other" } else { "k" };
        call(&mut harness, key, Call::Put { name: name.into(), value: vec![1], revision: None });
    }
    let revisions = |response: Option<&Response>| match response {
        Some(Response::Outcome(Outcome::Events { events, .. })) => {
            events.iter().map(|event| event.revision).collect::<Vec<_>>()
        }
        other => panic!("the watch got no events: {other:?}"),
    };
    assert_eq!(revisions(harness.response(1)), [1], "the watch is answered with the first commit");
    for _ in 0..20 {
        harness.tick(1_000);
        harness.sync();
    }
    assert_eq!(revisions(Some(&call(&mut harness, 7, watch(0)))), [1, 2, 4]);
    for _ in 0..10 {
        harness.tick(1_000);
        harness.sync();
    }
    let response = call(&mut harness, 8, watch(0));
    assert_eq!(response, Response::Outcome(Outcome::TooOld { floor: 4 }));
}

#[test]
fn a_log_over_its_bound_before_a_restart_is_compacted_after_it() {
    let mut harness = Harness::serving();
    for key in 0..50 {
        call(&mut harness, key, Call::Next { name: "n".into(), by: 1 });
    }
    let entries = harness.entries.clone();
    let bytes: usize = entries.iter().map(|entry| entry.size_bytes()).sum();
    let mut restarted = Harness::new(recovered(&[1], entries, harness.node.consensus().term()));
    restarted.set_log_bound(bytes as u64);
    restarted.become_leader();
    assert_eq!(restarted.encoded, 1);
}

#[test]
fn a_longer_lock_renewal_is_recorded_and_a_shorter_one_changes_nothing() {
    let mut harness = Harness::serving();
    let mut call_lock = |key: u64, call: Call, elapsed_ms: u64| {
        (0..elapsed_ms / 20).for_each(|_| harness.tick(20));
        harness.request(key, Request::Call { id: None, call });
        harness.run_until_idle();
        let locks = harness.node.committed().locks.clone();
        let response = harness.responses.iter().rev().find(|(known, _)| *known == key);
        (response.map(|(_, response)| response.clone()), locks.get("l").map(|lock| lock.ttl_ms))
    };
    let (name, holder) = (Name::from("l"), Name::from("a"));
    let lock =
        |holder: &str, ttl_ms| Call::Lock { name: "l".into(), holder: holder.into(), ttl_ms };
    let renew = |ttl_ms| Call::Renew {
        name: name.clone(),
        holder: holder.clone(),
        fence: 1,
        ttl_ms: Some(ttl_ms),
    };
    assert_eq!(call_lock(1, lock("a", 1_000), 20).1, Some(1_000));
    assert_eq!(
        call_lock(2, renew(5_000), 20).1,
        Some(5_000),
        "a new leader must know the longer time"
    );
    assert_eq!(call_lock(3, renew(600), 20).1, Some(5_000));
    let locked_by_other = Some(Response::Outcome(Outcome::LockedByOther { fence: 1 }));
    assert_eq!(call_lock(4, lock("b", 1_000), 3_000).0, locked_by_other, "the longer time applies");
    let (response, _) = call_lock(5, lock("b", 1_000), 2_000);
    assert!(
        matches!(response, Some(Response::Outcome(Outcome::Locked { fence: 2, .. }))),
        "the expired lock was not granted: {response:?}"
    );
}
