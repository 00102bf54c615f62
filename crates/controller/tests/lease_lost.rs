//! A leader without its lease gives no response that another leader may have made outdated.

mod cluster;
mod harness;
use cluster::Cluster;
use harness::*;
use postbarrow_constants::consensus::LEADER_LEASE_MS;
use postbarrow_messages::*;
use postbarrow_state::*;

const REDIRECTED: Response = Response::NotController { controller: None };

fn call(call: Call) -> Request {
    Request::Call { id: Some(Name::from("new")), call }
}

fn call_with_id(id: &str, call: Call) -> Request {
    Request::Call { id: Some(Name::from(id)), call }
}

fn lock(holder: &str) -> Call {
    Call::Lock { name: "l".into(), holder: holder.into(), ttl_ms: 60_000 }
}

fn next_number() -> Call {
    Call::Next { name: "n".into(), by: 1 }
}

fn put(revision: u64) -> Call {
    Call::Put { name: "k".into(), value: vec![1], revision: Some(revision) }
}

fn watch(after: Option<u64>) -> Call {
    Call::Watch { sort: ResourceKind::Key, prefix: "".into(), after }
}

fn settlement(ticket: Ticket) -> Request {
    Request::Settle { ticket, settlement: Settlement::Ran, response: None }
}

/// Returns a serving cluster with a plan, a lock, a number, a key and a settled ticket.
fn cluster_with_state() -> Cluster {
    let mut cluster = Cluster::serving();
    cluster.harness.submit(901, &plan("v1", None, 1, "catalogue"));
    cluster.run_until_idle();
    let requests = [
        call_with_id("lock", lock("a")),
        call_with_id("number", next_number()),
        call_with_id("put", put(0)),
        Request::Ticket(ticket("t", 1)),
        settlement(ticket("t", 1)),
    ];
    for (at, request) in requests.into_iter().enumerate() {
        cluster.harness.request(910 + at as u64, request);
        cluster.run_until_idle();
        let response = cluster.harness.response(910 + at as u64);
        assert!(
            !matches!(response, None | Some(Response::NotController { .. })),
            "request {at}: {response:?}"
        );
    }
    assert_eq!(cluster.harness.state().plan_version(), Some("v1"));
    cluster
}

/// Returns one request of each kind whose response depends on entries committed before it, with a
/// description.
fn requests_depending_on_committed_state() -> Vec<(&'static str, Request)> {
    let fence = 1;
    let (name, holder) = (Name::from("l"), Name::from("b"));
    let renew_by_other =
        Call::Renew { name: name.clone(), holder: holder.clone(), fence, ttl_ms: None };
    let renew_by_owner =
        Call::Renew { name: name.clone(), holder: "a".into(), fence, ttl_ms: None };
    let mut other_digest = ticket("t", 7);
    other_digest.digest = [9; 32];
    let mut unknown_node = ticket("x", 8);
    unknown_node.node = 77;
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
        ("v1 with another text", Request::Submit(submission(&plan("v1", None, 2, "catalogue")))),
        ("a lock owned by another", call(lock("b"))),
        ("a lock owned by the client", call(lock("a"))),
        ("a renewal by the owner", call(renew_by_owner)),
        ("a renewal by another", call(renew_by_other)),
        ("a release by another", call(Call::Free { name: name.clone(), holder, fence })),
        ("a put on a stale revision", call(put(0))),
        (
            "a removal on a stale revision",
            call(Call::Remove { name: "k".into(), revision: Some(0) }),
        ),
        ("a removal of no key", call(Call::Remove { name: "none".into(), revision: None })),
        ("a repeated number", call_with_id("number", next_number())),
        ("a repeated put", call_with_id("put", put(0))),
        ("a lock read", call(Call::ReadLock { name })),
        ("a number read", call(Call::ReadNumber { name: "n".into() })),
        ("a key read", call(Call::ReadKey { name: "k".into() })),
        ("a first watch", call(watch(None))),
        ("a watch with events", call(watch(Some(0)))),
        ("a watch beyond the revision", call(watch(Some(1_000)))),
        ("a ticket of a known key", Request::Ticket(ticket("t", 6))),
        ("a ticket of another digest", Request::Ticket(other_digest)),
        ("a ticket for an unknown node", Request::Ticket(unknown_node)),
        ("a repeated settlement", settlement(ticket("t", 1))),
    ]
}

/// Checks that each request gets a response while the lease lasts, and only redirections without
/// it.
fn check_responses_need_the_lease(condition: &str, lose_lease: impl Fn(&mut Cluster)) {
    let mut cluster = cluster_with_state();
    for (at, (name, request)) in requests_depending_on_committed_state().into_iter().enumerate() {
        let key = at as u64;
        cluster.harness.request(key, request.clone());
        cluster.run_until_idle();
        let before = cluster.harness.response(key).cloned();
        assert!(
            before.is_some_and(|response| response != REDIRECTED),
            "{name}: no response with the lease"
        );
        let mut without_lease = cluster_with_state();
        lose_lease(&mut without_lease);
        without_lease.harness.request(key, request);
        for _ in 0..100 {
            without_lease.harness.tick(20);
            without_lease.harness.sync();
        }
        let responses: Vec<_> =
            without_lease.harness.responses.iter().filter(|(to, _)| *to == key).collect();
        assert!(!responses.is_empty(), "{condition}, {name}: no response");
        let all_redirected = responses
            .iter()
            .all(|(_, response)| matches!(response, Response::NotController { .. }));
        assert!(all_redirected, "{condition}, {name}: {responses:?}");
    }
}

#[test]
fn a_partitioned_leader_answers_nothing_from_its_state() {
    check_responses_need_the_lease("partitioned", |cluster| {
        for _ in 0..25 {
            cluster.harness.tick(20);
            cluster.harness.sync();
        }
        assert!(cluster.harness.node.is_leading(), "the node no longer leads");
    });
}

#[test]
fn a_suspended_leader_answers_nothing_from_its_state_before_its_next_tick() {
    check_responses_need_the_lease("suspended", |cluster| cluster.harness.now_ms += 20_000);
}

#[test]
fn a_resumed_leader_answers_nothing_from_its_state_after_a_tick() {
    check_responses_need_the_lease("resumed", |cluster| cluster.harness.tick(20_000));
}

#[test]
fn without_the_lease_only_a_request_with_its_own_entry_is_answered() {
    let mut cluster = cluster_with_state();
    cluster.harness.request(1, call_with_id("second", next_number()));
    cluster.harness.sync();
    let late_responses = cluster.follower_responses();
    cluster.harness.request(2, Request::Submit(submission(&plan("v3", None, 1, "catalogue"))));
    cluster.harness.request(3, call(lock("b")));
    cluster.harness.request(4, Request::Ticket(ticket("t", 6)));
    assert_eq!(cluster.harness.response(2), None, "the plan waits until the number is committed");
    cluster.harness.now_ms += 20_000;
    cluster.deliver(late_responses);
    let committed = Some(&Response::Outcome(Outcome::Number(2)));
    assert_eq!(cluster.harness.response(1), committed, "a majority committed its own entry");
    for key in 2..=4 {
        assert_eq!(cluster.harness.response(key), Some(&REDIRECTED), "request {key}");
    }
}

#[test]
fn with_the_lease_responses_wait_for_the_commit_of_older_entries() {
    let mut cluster = cluster_with_state();
    cluster.harness.request(1, call_with_id("second", next_number()));
    cluster.harness.sync();
    cluster
        .harness
        .request(2, Request::Submit(submission(&plan("v3", Some("v2"), 1, "catalogue"))));
    cluster.harness.request(3, call(lock("b")));
    cluster.run_until_idle();
    assert_eq!(cluster.harness.status(2), Some(409));
    assert_eq!(
        cluster.harness.response(3),
        Some(&Response::Outcome(Outcome::LockedByOther { fence: 1 }))
    );
}

#[test]
fn without_the_lease_nothing_is_written_and_requests_are_redirected() {
    let mut cluster = cluster_with_state();
    cluster.harness.now_ms += 20_000;
    let last = cluster.harness.node.consensus().last_index();
    let requests = [
        call_with_id("new", next_number()),
        Request::Ticket(ticket("new", 9)),
        settlement(ticket("other", 10)),
        Request::Submit(submission(&plan("v2", Some("v1"), 1, "catalogue"))),
    ];
    for (at, request) in requests.into_iter().enumerate() {
        cluster.harness.request(at as u64, request);
        assert_eq!(cluster.harness.response(at as u64), Some(&REDIRECTED), "request {at}");
    }
    assert_eq!(cluster.harness.node.consensus().last_index(), last, "nothing was written");
}

#[test]
fn when_deposed_only_requests_with_an_entry_of_their_own_are_lost() {
    let mut cluster = cluster_with_state();
    cluster.harness.request(1, call_with_id("second", next_number()));
    cluster.harness.request(2, call(lock("b")));
    cluster.harness.submit(3, &plan("v2", Some("v1"), 1, "catalogue"));
    cluster.harness.request(4, call_with_id("third", next_number()));
    cluster.receive_higher_term();
    assert!(!cluster.harness.node.is_leading());
    assert_eq!(cluster.harness.response(1), Some(&Response::Lost));
    assert_eq!(cluster.harness.response(2), Some(&REDIRECTED));
    assert_eq!(cluster.harness.response(3), Some(&Response::Lost));
    assert!(matches!(
        cluster.harness.response(4),
        Some(Response::Lost) | Some(Response::NotController { .. })
    ));
}

#[test]
fn without_the_lease_a_pending_watch_gets_no_late_events() {
    let mut cluster = cluster_with_state();
    let revision = cluster.harness.state().revision;
    cluster.harness.request(1, call(watch(Some(revision))));
    cluster.harness.request(2, call_with_id("late", put(revision)));
    cluster.harness.sync();
    let late_responses = cluster.follower_responses();
    cluster.harness.now_ms += 20_000;
    cluster.deliver(late_responses);
    assert_eq!(cluster.harness.response(1), None, "another leader may have committed more events");
    cluster.harness.tick(20);
    assert_eq!(cluster.harness.response(1), Some(&REDIRECTED));
}

#[test]
fn a_watch_gets_events_committed_without_the_lease_once_it_is_renewed() {
    let mut cluster = cluster_with_state();
    let revision = cluster.harness.state().revision;
    cluster.harness.now_ms += LEADER_LEASE_MS - 100;
    cluster.harness.request(1, call(watch(Some(revision))));
    cluster.harness.request(2, call_with_id("late", put(revision)));
    cluster.harness.sync();
    let late_responses = cluster.follower_responses();
    cluster.harness.now_ms += 100;
    cluster.deliver(Cluster::without_lease_renewal(late_responses));
    assert!(!cluster.harness.node.has_lease(cluster.harness.now_ms));
    assert!(cluster.harness.state().revision > revision, "the put is not committed");
    assert_eq!(cluster.harness.response(1), None);
    cluster.run_until_idle();
    match cluster.harness.response(1) {
        Some(Response::Outcome(Outcome::Events { events, .. })) => assert_eq!(events.len(), 1),
        response => panic!("the watch got no events: {response:?}"),
    }
}

#[test]
fn a_refused_plan_names_the_version_in_force_before_its_end_is_committed() {
    let mut cluster = cluster_with_state();
    cluster.harness.submit(1, &plan("v2", Some("v1"), 1, "catalogue"));
    cluster.step_until_end_is_written();
    cluster.harness.submit(2, &plan("v3", Some("v2"), 1, "nobody"));
    cluster.run_until_idle();
    assert_eq!(cluster.harness.status(1), Some(200));
    assert_eq!(cluster.harness.status(2), Some(422));
    let Some(Response::Operator { body, .. }) = cluster.harness.response(2) else { panic!() };
    assert!(String::from_utf8_lossy(body).contains("\"versionInForce\":\"v2\""));
}
