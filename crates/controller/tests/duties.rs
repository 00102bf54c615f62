mod bench;
use bench::*;
use postbarrow_constants::coordination::*;
use postbarrow_constants::nodes::*;
use postbarrow_controller::Fetched;
use postbarrow_messages::*;
use postbarrow_state::*;

fn settle(ticket: Ticket, settlement: Settlement) -> Request {
    Request::Settle { ticket, settlement, response: None }
}

fn call(bench: &mut Bench, key: u64, call: Call) -> Response {
    let id = Some(Name::from(format!("id-{key}")));
    bench.ask(key, Request::Call { id, call });
    bench.sync();
    bench.sync();
    bench.answer(key).cloned().unwrap_or(Response::TimedOut)
}

#[test]
fn a_key_is_granted_to_one_go_and_again_only_after_a_committed_unsent() {
    let mut bench = Bench::serving();
    bench.ask(1, Request::Ticket(ticket("k", 1)));
    bench.ask(2, Request::Ticket(ticket("k", 2)));
    assert_eq!(bench.answer(1), None, "nothing is said before the sync");
    bench.settle();
    assert_eq!(bench.answer(1), Some(&Response::Granted));
    assert!(matches!(bench.answer(2), Some(Response::Known(known)) if known.settlement.is_none()));
    bench.ask(3, Request::Ticket(ticket("k", 1)));
    bench.settle();
    assert_eq!(bench.answer(3), Some(&Response::Granted), "the same go asks again");
    let mut other = ticket("k", 4);
    other.digest = [2; 32];
    bench.ask(4, Request::Ticket(other));
    bench.ask(5, settle(ticket("k", 1), Settlement::Unsent));
    bench.ask(6, Request::Ticket(ticket("k", 6)));
    assert_eq!(bench.answer(6), None, "the unsent is not committed yet");
    bench.settle();
    assert_eq!(bench.answer(4), Some(&Response::OtherDigest));
    assert_eq!(bench.answer(6), Some(&Response::Granted));
    bench.ask(7, Request::Ticket(ticket("k", 1)));
    bench.settle();
    assert!(matches!(bench.answer(7), Some(Response::Known(_))), "the old go came late");
}

#[test]
fn an_unsent_settled_before_its_ticket_came_is_never_granted() {
    let mut bench = Bench::serving();
    bench.ask(1, settle(ticket("k", 1), Settlement::Unsent));
    bench.settle();
    bench.ask(2, Request::Ticket(ticket("k", 1)));
    bench.settle();
    assert!(matches!(bench.answer(2), Some(Response::Known(_))));
    bench.ask(3, Request::Ticket(ticket("k", 3)));
    bench.settle();
    assert_eq!(bench.answer(3), Some(&Response::Granted));
}

#[test]
fn a_settled_response_is_kept_and_forgotten_in_time() {
    let mut bench = Bench::serving();
    bench.ask(1, Request::Ticket(ticket("k", 1)));
    bench.settle();
    let kept = StoredResponse { status: 201, headers: Vec::new(), body: vec![9] };
    let response = Some(kept.clone());
    bench.ask(2, Request::Settle { ticket: ticket("k", 1), settlement: Settlement::Ran, response });
    bench.settle();
    bench.ask(3, Request::Ticket(ticket("k", 3)));
    bench.settle();
    let Some(Response::Known(known)) = bench.answer(3) else { panic!("not known") };
    assert_eq!(known.response.as_deref(), Some(&kept));
    bench.tick(TICKET_RETENTION_MS + 2 * ERA_MS);
    bench.sync();
    bench.tick(RETENTION_MS);
    bench.sync();
    assert!(bench.state().tickets.is_empty());
}

#[test]
fn what_a_node_that_is_gone_left_open_is_unknown() {
    let mut bench = Bench::serving();
    bench.ask(1, Request::Ticket(ticket("k", 1)));
    bench.settle();
    for _ in 0..NODE_EXPIRY_MS / 20 + 20 {
        bench.tick(20);
        bench.sync();
    }
    assert!(bench.state().nodes.is_empty());
    assert_eq!(bench.state().tickets["k"].settlement, Some(Settlement::Unknown));
    bench.ask(2, Request::Ticket(ticket("k2", 2)));
    assert!(matches!(bench.answer(2), Some(Response::Refused(_))), "an unknown node gets none");
}

#[test]
fn a_draining_mark_acts_with_its_page_and_absence_only_after_a_whole_walk() {
    let mut bench = Bench::serving();
    let here = |bench: &Bench| bench.state().targets.keys().cloned().collect::<Vec<_>>();
    assert_eq!(here(&bench), ["catalogue-1", "ledger-1", "ledger-2"]);
    bench.rows(&[Bench::row("ledger-1", "ledger", true)], Some("1"));
    assert!(bench.state().targets["ledger-1"].draining, "the page acts at once");
    assert_eq!(here(&bench).len(), 3, "a half walk removes nobody");
    bench.page(Fetched::Failed("gone".into()));
    assert_eq!(here(&bench).len(), 3, "a broken walk removes nobody");
    bench.page(Fetched::Limited { wait_ms: 1_000 });
    bench.rows(&[Bench::row("catalogue-1", "catalogue", false)], None);
    assert_eq!(here(&bench).len(), 3, "a row may only have shifted over a page read before");
    for _ in 1..LIST_MISSES {
        bench.rows(&[Bench::row("ledger-1", "ledger", true)], Some("1"));
        bench.rows(&[Bench::row("catalogue-1", "catalogue", false)], None);
    }
    assert_eq!(here(&bench), ["catalogue-1", "ledger-1"]);
}

#[test]
fn a_page_with_a_finding_changes_nothing() {
    let mut bench = Bench::serving();
    let before = bench.state().targets.clone();
    let rows = [Bench::row("new", "ledger", false), "{\"instance\":7}".to_string()];
    bench.rows(&rows, None);
    assert_eq!(bench.state().targets, before);
    bench.page(Fetched::Page(b"{\"targets\":[".to_vec()));
    assert_eq!(bench.state().targets, before);
}

#[test]
fn no_hold_is_granted_before_the_first_whole_walk_nor_withheld_for_long() {
    let leading = || {
        let mut bench = Bench::new(recovered(&[1], Vec::new(), 0));
        while !bench.node.is_leading() {
            bench.tick(20);
            bench.sync();
        }
        bench
    };
    let mut bench = leading();
    bench.tick(20);
    assert!(!bench.granted(), "nothing is known of the list");
    bench.list(&[("ledger-1", "ledger")]);
    assert!(bench.granted());
    let mut blind = leading();
    for _ in 0..LIST_FIRST_SCAN_WAIT_MS / 20 + 3 {
        blind.tick(20);
    }
    assert!(blind.granted(), "a list out of reach does not stop the service");
}

#[test]
fn a_lock_has_one_holder_a_rising_fence_and_its_full_time() {
    let mut bench = Bench::serving();
    let lock = |holder: &str| Call::Lock { name: "l".into(), holder: holder.into(), ttl_ms: 1_000 };
    let first = call(&mut bench, 1, lock("a"));
    assert_eq!(first, Response::Outcome(Outcome::Locked { fence: 1, ttl_ms: 1_000 }));
    assert_eq!(
        call(&mut bench, 2, lock("b")),
        Response::Outcome(Outcome::LockedByOther { fence: 1 })
    );
    for _ in 0..45 {
        bench.tick(20);
        bench.sync();
    }
    let renew = Call::Renew { name: "l".into(), holder: "a".into(), fence: 1, ttl_ms: None };
    let renewed = call(&mut bench, 3, renew.clone());
    assert_eq!(renewed, Response::Outcome(Outcome::Locked { fence: 1, ttl_ms: 1_000 }));
    for _ in 0..45 {
        bench.tick(20);
        bench.sync();
    }
    assert!(bench.state().locks.contains_key("l"), "the renewal counts");
    for _ in 0..10 {
        bench.tick(20);
        bench.sync();
    }
    assert!(!bench.state().locks.contains_key("l"), "its time is up");
    assert_eq!(call(&mut bench, 4, renew), Response::Outcome(Outcome::NotOwner));
    let second = call(&mut bench, 5, lock("b"));
    assert_eq!(second, Response::Outcome(Outcome::Locked { fence: 2, ttl_ms: 1_000 }));
}

#[test]
fn a_new_controller_gives_a_lock_its_full_time_again() {
    let mut bench = Bench::serving();
    call(&mut bench, 1, Call::Lock { name: "l".into(), holder: "a".into(), ttl_ms: 60_000 });
    let entries = bench.entries.clone();
    let mut next = Bench::new(recovered(&[1], entries, bench.node.consensus().term()));
    next.now_ms = 9_000_000;
    next.lead();
    let lead_ms = next.now_ms;
    while next.state().locks.contains_key("l") {
        next.tick(20);
        next.sync();
    }
    let held_ms = next.now_ms - lead_ms;
    assert!((57_000..=60_100).contains(&held_ms), "{held_ms}");
}

#[test]
fn repeats_get_the_first_result_and_numbers_only_rise() {
    let mut bench = Bench::serving();
    let next = Call::Next { name: "n".into(), by: 2 };
    assert_eq!(call(&mut bench, 1, next.clone()), Response::Outcome(Outcome::Number(2)));
    assert_eq!(call(&mut bench, 1, next.clone()), Response::Outcome(Outcome::Number(2)));
    assert_eq!(call(&mut bench, 2, next), Response::Outcome(Outcome::Number(4)));
    let put = |revision| Call::Put { name: "k".into(), value: vec![1], revision };
    let Response::Outcome(Outcome::Key(key)) = call(&mut bench, 3, put(Some(0))) else { panic!() };
    let conflict = Response::Outcome(Outcome::Conflict { revision: key.revision });
    assert_eq!(call(&mut bench, 4, put(Some(0))), conflict);
    assert_eq!(call(&mut bench, 3, put(Some(0))), Response::Outcome(Outcome::Key(key)));
}

#[test]
fn a_watch_is_told_all_in_order_for_twenty_seconds_and_then_too_old() {
    let mut bench = Bench::serving();
    let watch =
        |after| Call::Watch { sort: ResourceKind::Key, prefix: "k".into(), after: Some(after) };
    bench.ask(1, Request::Call { id: None, call: watch(0) });
    assert_eq!(bench.answer(1), None, "there is nothing to tell yet");
    for key in 2..6 {
        let name = if key == 4 { "other" } else { "k" };
        call(&mut bench, key, Call::Put { name: name.into(), value: vec![1], revision: None });
    }
    let revisions = |answer: Option<&Response>| match answer {
        Some(Response::Outcome(Outcome::Events { events, .. })) => {
            events.iter().map(|event| event.revision).collect::<Vec<_>>()
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(revisions(bench.answer(1)), [1], "it is told with the first commit");
    for _ in 0..20 {
        bench.tick(1_000);
        bench.sync();
    }
    assert_eq!(revisions(Some(&call(&mut bench, 7, watch(0)))), [1, 2, 4]);
    for _ in 0..10 {
        bench.tick(1_000);
        bench.sync();
    }
    let told = call(&mut bench, 8, watch(0));
    assert_eq!(told, Response::Outcome(Outcome::TooOld { floor: 4 }));
}

#[test]
fn a_log_that_grew_before_a_restart_still_ends_in_a_snapshot() {
    let mut bench = Bench::serving();
    for key in 0..50 {
        call(&mut bench, key, Call::Next { name: "n".into(), by: 1 });
    }
    let entries = bench.entries.clone();
    let bytes: usize = entries.iter().map(|entry| entry.size()).sum();
    let mut next = Bench::new(recovered(&[1], entries, bench.node.consensus().term()));
    next.bound(bytes as u64);
    next.lead();
    assert_eq!(next.encoded, 1);
}
