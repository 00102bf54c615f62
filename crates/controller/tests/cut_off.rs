//! A leader that was cut off, stood still or just woke answers nothing that another may have changed.

mod bench;
mod trio;
use bench::*;
use postbarrow_constants::consensus::LEADER_LEASE_MS;
use postbarrow_messages::*;
use postbarrow_state::*;
use trio::Trio;

const UNKNOWN: Response = Response::NotController { controller: None };

fn call(call: Call) -> Request {
    Request::Call { id: Some(Name::from("fresh")), call }
}

fn repeated(id: &str, call: Call) -> Request {
    Request::Call { id: Some(Name::from(id)), call }
}

fn lock(holder: &str) -> Call {
    Call::Lock { name: "l".into(), holder: holder.into(), ttl_ms: 60_000 }
}

fn number() -> Call {
    Call::Next { name: "n".into(), by: 1 }
}

fn put(revision: u64) -> Call {
    Call::Put { name: "k".into(), value: vec![1], revision: Some(revision) }
}

fn watch(after: Option<u64>) -> Call {
    Call::Watch { sort: ResourceKind::Key, prefix: "".into(), after }
}

fn settle(ticket: Ticket) -> Request {
    Request::Settle { ticket, settlement: Settlement::Ran, response: None }
}

/// With a plan, a lock, a number, a key and a settled ticket.
fn with_state() -> Trio {
    let mut trio = Trio::serving();
    trio.bench.submit(901, &plan("v1", None, 1, "catalogue"));
    trio.settle();
    let asks = [
        repeated("lock", lock("a")),
        repeated("number", number()),
        repeated("put", put(0)),
        Request::Ticket(ticket("t", 1)),
        settle(ticket("t", 1)),
    ];
    for (at, request) in asks.into_iter().enumerate() {
        trio.bench.ask(910 + at as u64, request);
        trio.settle();
        let told = trio.bench.answer(910 + at as u64);
        assert!(!matches!(told, None | Some(Response::NotController { .. })), "{at}: {told:?}");
    }
    assert_eq!(trio.bench.state().plan_version(), Some("v1"));
    trio
}

/// Each kind of question whose answer rests on what was committed before it came.
fn questions() -> Vec<(&'static str, Request)> {
    let fence = 1;
    let (name, holder) = (Name::from("l"), Name::from("b"));
    let renew = Call::Renew { name: name.clone(), holder: holder.clone(), fence, ttl_ms: None };
    let own = Call::Renew { name: name.clone(), holder: "a".into(), fence, ttl_ms: None };
    let mut other_digest = ticket("t", 7);
    other_digest.digest = [9; 32];
    let mut stranger = ticket("x", 8);
    stranger.node = 77;
    vec![
        ("the plan", Request::Show),
        ("the targets", Request::Targets),
        ("the members", Request::Members),
        ("the status", Request::Status),
        ("the recent requests", Request::RequestSamples),
        (
            "a plan on a stale base",
            Request::Submit(submission(&plan("v3", Some("v2"), 1, "catalogue"))),
        ),
        ("the plan in force again", Request::Submit(submission(&plan("v1", None, 1, "catalogue")))),
        ("its version, other text", Request::Submit(submission(&plan("v1", None, 2, "catalogue")))),
        ("a lock held by another", call(lock("b"))),
        ("a lock of one's own", call(lock("a"))),
        ("a renewal", call(own)),
        ("a renewal by another", call(renew)),
        ("a release by another", call(Call::Free { name: name.clone(), holder, fence })),
        ("a put on a stale revision", call(put(0))),
        (
            "a removal on a stale revision",
            call(Call::Remove { name: "k".into(), revision: Some(0) }),
        ),
        ("a removal of no key", call(Call::Remove { name: "none".into(), revision: None })),
        ("a repeated number", repeated("number", number())),
        ("a repeated put", repeated("put", put(0))),
        ("a lock read", call(Call::ReadLock { name })),
        ("a number read", call(Call::ReadNumber { name: "n".into() })),
        ("a key read", call(Call::ReadKey { name: "k".into() })),
        ("a first watch", call(watch(None))),
        ("a watch with news", call(watch(Some(0)))),
        ("a watch that is too far", call(watch(Some(1_000)))),
        ("a ticket of a known key", Request::Ticket(ticket("t", 6))),
        ("a ticket of another digest", Request::Ticket(other_digest)),
        ("a ticket for an unknown node", Request::Ticket(stranger)),
        ("a repeated settlement", settle(ticket("t", 1))),
    ]
}

/// Every question gets an answer while the lease lasts, and none of substance in these conditions.
fn only_with_the_lease(condition: &str, worsen: impl Fn(&mut Trio)) {
    let mut trio = with_state();
    for (at, (kind, request)) in questions().into_iter().enumerate() {
        let key = at as u64;
        trio.bench.ask(key, request.clone());
        trio.settle();
        let before = trio.bench.answer(key).cloned();
        assert!(before.is_some_and(|told| told != UNKNOWN), "{kind}: no answer with the hold");
        let mut cut_off = with_state();
        worsen(&mut cut_off);
        cut_off.bench.ask(key, request);
        for _ in 0..100 {
            cut_off.bench.tick(20);
            cut_off.bench.sync();
        }
        let told: Vec<_> = cut_off.bench.responses.iter().filter(|(to, _)| *to == key).collect();
        assert!(!told.is_empty(), "{condition}, {kind}: silence");
        let sound = told.iter().all(|(_, told)| matches!(told, Response::NotController { .. }));
        assert!(sound, "{condition}, {kind}: {told:?}");
    }
}

#[test]
fn a_leader_that_was_cut_off_answers_nothing_from_its_state() {
    only_with_the_lease("cut off", |trio| {
        for _ in 0..25 {
            trio.bench.tick(20);
            trio.bench.sync();
        }
        assert!(trio.bench.node.is_leading(), "it has not noticed yet");
    });
}

#[test]
fn a_leader_that_was_frozen_answers_nothing_from_its_state_when_it_wakes() {
    only_with_the_lease("frozen", |trio| trio.bench.now_ms += 20_000);
}

#[test]
fn a_leader_that_just_woke_answers_nothing_from_its_state() {
    only_with_the_lease("woken", |trio| trio.bench.tick(20_000));
}

#[test]
fn an_entry_from_before_the_question_is_no_cover_for_a_leader_without_the_hold() {
    let mut trio = with_state();
    trio.bench.ask(1, repeated("second", number()));
    trio.bench.sync();
    let late = trio.follower_responses();
    trio.bench.ask(2, Request::Submit(submission(&plan("v3", None, 1, "catalogue"))));
    trio.bench.ask(3, call(lock("b")));
    trio.bench.ask(4, Request::Ticket(ticket("t", 6)));
    assert_eq!(trio.bench.answer(2), None, "it waits for the number to be committed");
    trio.bench.now_ms += 20_000;
    trio.deliver(late);
    let sure = Some(&Response::Outcome(Outcome::Number(2)));
    assert_eq!(trio.bench.answer(1), sure, "its own entry was committed by a majority");
    for key in 2..=4 {
        assert_eq!(trio.bench.answer(key), Some(&UNKNOWN), "question {key}");
    }
}

#[test]
fn the_same_answers_are_given_when_the_older_entry_commits_within_the_hold() {
    let mut trio = with_state();
    trio.bench.ask(1, repeated("second", number()));
    trio.bench.sync();
    trio.bench.ask(2, Request::Submit(submission(&plan("v3", Some("v2"), 1, "catalogue"))));
    trio.bench.ask(3, call(lock("b")));
    trio.settle();
    assert_eq!(trio.bench.status(2), Some(409));
    assert_eq!(trio.bench.answer(3), Some(&Response::Outcome(Outcome::LockedByOther { fence: 1 })));
}

#[test]
fn a_write_is_not_begun_without_the_hold_so_that_it_can_be_told_as_not_taken() {
    let mut trio = with_state();
    trio.bench.now_ms += 20_000;
    let last = trio.bench.node.consensus().last_index();
    let asks = [
        repeated("new", number()),
        Request::Ticket(ticket("new", 9)),
        settle(ticket("other", 10)),
        Request::Submit(submission(&plan("v2", Some("v1"), 1, "catalogue"))),
    ];
    for (at, request) in asks.into_iter().enumerate() {
        trio.bench.ask(at as u64, request);
        assert_eq!(trio.bench.answer(at as u64), Some(&UNKNOWN), "question {at}");
    }
    assert_eq!(trio.bench.node.consensus().last_index(), last, "nothing was written");
}

#[test]
fn what_waits_is_told_as_unknown_only_where_something_was_written_for_it() {
    let mut trio = with_state();
    trio.bench.ask(1, repeated("second", number()));
    trio.bench.ask(2, call(lock("b")));
    trio.bench.submit(3, &plan("v2", Some("v1"), 1, "catalogue"));
    trio.bench.ask(4, repeated("third", number()));
    trio.higher_term();
    assert!(!trio.bench.node.is_leading());
    assert_eq!(trio.bench.answer(1), Some(&Response::Lost));
    assert_eq!(trio.bench.answer(2), Some(&UNKNOWN));
    assert_eq!(trio.bench.answer(3), Some(&Response::Lost));
    assert!(matches!(
        trio.bench.answer(4),
        Some(Response::Lost) | Some(Response::NotController { .. })
    ));
}

#[test]
fn a_watch_is_told_late_events_only_within_the_hold() {
    let mut trio = with_state();
    let revision = trio.bench.state().revision;
    trio.bench.ask(1, call(watch(Some(revision))));
    trio.bench.ask(2, repeated("late", put(revision)));
    trio.bench.sync();
    let late = trio.follower_responses();
    trio.bench.now_ms += 20_000;
    trio.deliver(late);
    assert_eq!(trio.bench.answer(1), None, "whether more happened since is not known");
    trio.bench.tick(20);
    assert_eq!(trio.bench.answer(1), Some(&UNKNOWN));
}

#[test]
fn a_watch_whose_events_came_without_the_hold_misses_none_when_it_is_back() {
    let mut trio = with_state();
    let revision = trio.bench.state().revision;
    trio.bench.now_ms += LEADER_LEASE_MS - 100;
    trio.bench.ask(1, call(watch(Some(revision))));
    trio.bench.ask(2, repeated("late", put(revision)));
    trio.bench.sync();
    let late = trio.follower_responses();
    trio.bench.now_ms += 100;
    trio.deliver(Trio::without_echo(late));
    assert!(!trio.bench.node.has_lease(trio.bench.now_ms));
    assert!(trio.bench.state().revision > revision, "it is committed");
    assert_eq!(trio.bench.answer(1), None);
    trio.settle();
    match trio.bench.answer(1) {
        Some(Response::Outcome(Outcome::Events { events, .. })) => assert_eq!(events.len(), 1),
        told => panic!("{told:?}"),
    }
}

#[test]
fn an_aborted_plan_names_the_version_in_force_though_its_end_is_not_committed_yet() {
    let mut trio = with_state();
    trio.bench.submit(1, &plan("v2", Some("v1"), 1, "catalogue"));
    trio.step_until_last_is_the_end();
    trio.bench.submit(2, &plan("v3", Some("v2"), 1, "nobody"));
    trio.settle();
    assert_eq!(trio.bench.status(1), Some(200));
    assert_eq!(trio.bench.status(2), Some(422));
    let Some(Response::Operator { body, .. }) = trio.bench.answer(2) else { panic!() };
    assert!(String::from_utf8_lossy(body).contains("\"versionInForce\":\"v2\""));
}
