//! Missing responses, resets and late responses, in a dialect in which each request names its
//! target.

use super::named_targets::{RequestIdDialect, assert_not_retried, get, response, two_targets};
use super::rig::*;
use crate::TargetIdentification;
use crate::target_connection::{
    CancelScope, Cancellation, ExchangeTerms, OutgoingRequest, TargetConnection,
};
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::head::parse;
use postbarrow_downstream::memory_budget::MemoryBudget;
use postbarrow_node::AttemptOutcome;
use postbarrow_transport::clock_ms;

/// Headers by which the client waits 300 ms: long enough for a request to reach its target, and
/// short enough for a test.
const SHORT_WAIT_HEADERS: &str = "Request-Id: p\r\nWait-Ms: 300\r\n";

fn unresponsive(late: Vec<u8>) -> (Trigger, Script) {
    let (trigger, signal) = trigger();
    (trigger, Script::Delayed(Vec::new(), signal, late))
}

fn connections(target: &ScriptedTarget) -> usize {
    target.observed.lock().unwrap().connections
}

#[test]
fn one_time_request_without_response_is_never_resent_and_its_connection_never_reused() {
    let (late, unresponsive) = unresponsive(response("p", "", "late"));
    let script = vec![unresponsive, Script::Reply(response("q", "", "own"))];
    let (one, other, rig) = two_targets(script, vec![Script::Raw(Vec::new())]);
    let reply = rig.post(SHORT_WAIT_HEADERS, "x");
    assert_not_retried(&reply, &one, &other);
    let reply = get(&rig, "q");
    assert!(
        reply.ends_with("\r\n\r\nown"),
        "the request was sent on the unresponsive connection: {reply}"
    );
    late.fire();
    let reply = get(&rig, "q");
    assert!(reply.ends_with("\r\n\r\nown"), "the late response must be discarded: {reply}");
    assert_eq!(
        (one.runs(), connections(&one)),
        (3, 2),
        "the unresponsive connection must not be reused"
    );
}

#[test]
fn lookup_without_response_in_time_fails_and_its_connection_is_never_reused() {
    let (late, unresponsive) = unresponsive(response("p", "", "late"));
    let script = vec![unresponsive, Script::Reply(response("q", "", "own"))];
    let (one, _, rig) = two_targets(script, vec![Script::Raw(Vec::new())]);
    let look = format!("GET /look/1 HTTP/1.1\r\nHost: h\r\n{SHORT_WAIT_HEADERS}\r\n");
    let reply = rig.raw(look.as_bytes());
    assert!(reply.starts_with("HTTP/1.1 502") && !reply.contains("late"), "{reply}");
    assert!(
        get(&rig, "q").ends_with("\r\n\r\nown"),
        "the request was sent on the unresponsive connection"
    );
    late.fire();
    assert!(get(&rig, "q").ends_with("\r\n\r\nown"));
    assert_eq!(connections(&one), 2);
}

#[test]
fn reset_before_or_during_a_response_ends_a_one_time_request_and_retries_a_lookup() {
    let complete = response("p", "", "done");
    for truncated in [Vec::new(), complete[..20].to_vec(), complete[..complete.len() - 2].to_vec()]
    {
        let working = || vec![Script::Reply(complete.clone())];
        let (one, other, rig) = two_targets(vec![Script::Reset(truncated.clone())], working());
        let reply = rig.post("Request-Id: p\r\n", "x");
        assert_not_retried(&reply, &one, &other);
        let (one, other, rig) = two_targets(vec![Script::Reset(truncated)], working());
        assert!(get(&rig, "p").ends_with("\r\n\r\ndone"));
        assert_eq!((one.runs(), other.runs()), (1, 1));
    }
}

#[test]
fn idle_connection_with_unsolicited_bytes_or_a_reset_is_not_reused() {
    let extra = [response("a", "", "again"), b"garbage\r\n\r\n".to_vec()];
    for bytes in extra.map(Some).into_iter().chain([None]) {
        let (idle_trigger, signal) = trigger();
        let first = response("a", "", "1");
        let first = match bytes {
            Some(bytes) => Script::Delayed(first, signal, bytes),
            None => Script::DelayedReset(first, signal),
        };
        let script = vec![first, Script::Reply(response("p", "", "2"))];
        let (one, other, rig) = two_targets(script, vec![Script::Raw(Vec::new())]);
        assert!(get(&rig, "a").ends_with("\r\n\r\n1"));
        idle_trigger.fire();
        assert!(rig.post("Request-Id: p\r\n", "x").ends_with("\r\n\r\n2"));
        assert_eq!((one.runs(), other.runs(), connections(&one)), (2, 0, 2));
    }
}

#[test]
fn garbage_directly_after_a_complete_response_prevents_reuse_of_the_connection() {
    let extra = [response("a", "", "1"), b"garbage\r\n\r\n".to_vec()].concat();
    let script = vec![Script::Reply(extra), Script::Reply(response("b", "", "2"))];
    let (one, _, rig) = two_targets(script, vec![Script::Raw(Vec::new())]);
    assert!(get(&rig, "a").ends_with("\r\n\r\n1"));
    assert!(get(&rig, "b").ends_with("\r\n\r\n2"));
    assert_eq!(connections(&one), 2);
}

#[test]
fn another_instance_at_the_same_address_gets_a_new_connection() {
    let script = vec![Script::Reply(response("a", "", "1")), Script::Reply(response("b", "", "2"))];
    let (one, _, rig) = two_targets(script, vec![Script::Raw(Vec::new())]);
    assert!(get(&rig, "a").ends_with("\r\n\r\n1"));
    rig.publish(vec![target("s-9", "s", one.address)]);
    assert!(get(&rig, "b").ends_with("\r\n\r\n2"));
    let observed = one.observed.lock().unwrap().clone();
    assert!(observed.heads[1].contains("For: s-9"), "{:?}", observed.heads);
    assert_eq!(
        observed.connections, 2,
        "a connection opened to another instance must not be reused"
    );
}

#[test]
fn requests_rejected_by_a_target_of_another_identity_run_once_elsewhere() {
    let rejection = || vec![Script::Reply(response("p", "Not-Run: another stands here\r\n", ""))];
    let complete = || vec![Script::Reply(response("p", "", "done"))];
    let (one, other, rig) = two_targets(rejection(), complete());
    assert!(
        get(&rig, "p").ends_with("\r\n\r\ndone"),
        "a lookup must be retried at the other target"
    );
    assert_eq!((one.runs(), other.runs()), (1, 1));
    let (one, other, rig) = two_targets(rejection(), rejection());
    let reply = rig.post("Request-Id: p\r\n", "x");
    assert!(reply.starts_with("HTTP/1.1 503") && reply.ends_with("unsent"), "{reply}");
    assert_eq!(
        (one.runs(), other.runs()),
        (1, 1),
        "each target stated that it did not run the request"
    );
}

#[test]
fn request_forbidden_by_the_final_check_sends_no_byte() {
    let one = ScriptedTarget::start("s-1", "s", vec![Script::Reply(response("p", "", "done"))]);
    let text = b"POST /post/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: p\r\nContent-Length: 1\r\n\r\n";
    let (head, _) = parse(text).unwrap().unwrap();
    let until_ms = clock_ms() + 60_000;
    let no_client = ClientWatch::without_client();
    let request = OutgoingRequest {
        method: &head.method,
        path: &head.target,
        headers: &[],
        body: b"x",
        until_ms,
        repeatable: false,
    };
    let mut memory = MemoryBudget::new(1_000).reserve(0).unwrap();
    let mut exchange = |allowed: bool| {
        let terms = ExchangeTerms {
            may_send: &|| allowed,
            cancellation: Cancellation::new(&no_client, CancelScope::Never),
            judge: &|response, first| RequestIdDialect.judge_response(&head, response, first),
        };
        let mut connection = TargetConnection::open(one.address, until_ms, &no_client).unwrap();
        connection.exchange(&request, &terms, &mut memory)
    };
    let (outcome, is_reusable) = exchange(false);
    assert!(matches!(outcome, AttemptOutcome::Unsent(_)) && !is_reusable, "{outcome:?}");
    let (outcome, is_reusable) = exchange(true);
    assert!(matches!(outcome, AttemptOutcome::Complete(_)) && is_reusable, "{outcome:?}");
    assert_eq!(one.runs(), 1, "the forbidden request must not reach the target");
}
