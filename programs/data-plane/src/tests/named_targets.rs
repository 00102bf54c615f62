//! Tests of a dialect in which each request names its target.

use super::rig::*;
use crate::{Dialect, ListenerRole, NodeEndpoint, ResponseJudgement, TargetIdentification};
use postbarrow_downstream::head::Head;
use postbarrow_node::{Completion, RequestOutcome, TargetResponse};
use std::sync::Arc;

/// A dialect whose targets do not identify themselves: each request names its target in the header
/// `For`, and each response names its request in `Request-Id`.
pub struct RequestIdDialect;

fn header<'h>(response: &'h TargetResponse, name: &str) -> Option<&'h str> {
    let mut all = response.headers.iter();
    all.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

impl Dialect for RequestIdDialect {
    fn node_endpoint(&self, _listener: ListenerRole, _head: &Head) -> Option<NodeEndpoint> {
        None
    }
    fn client_timeout_ms(&self, head: &Head) -> Option<u64> {
        head.header("Wait-Ms")?.parse().ok()
    }
    fn idempotency_key<'h>(&self, _head: &'h Head) -> Option<&'h str> {
        None
    }
    fn render_completion(&self, completion: Completion) -> TargetResponse {
        let (status, sent) = match completion.outcome {
            RequestOutcome::Complete(response) => return response,
            _ if completion.evidence.may_have_run => (502, "sent"),
            _ => (503, "unsent"),
        };
        TargetResponse { status, headers: Vec::new(), body: sent.into() }
    }
    fn render_rejection(
        &self,
        status: u16,
        _may_have_run_before: bool,
        reason: &str,
    ) -> TargetResponse {
        TargetResponse { status, headers: Vec::new(), body: reason.into() }
    }
    fn target_identification(&self) -> Option<&dyn TargetIdentification> {
        Some(self)
    }
}

impl TargetIdentification for RequestIdDialect {
    fn headers(&self, _head: &Head, instance: &str, _remaining_ms: u64) -> Vec<(String, String)> {
        vec![("For".into(), instance.into())]
    }
    fn judge_response(
        &self,
        head: &Head,
        response: &TargetResponse,
        _first: bool,
    ) -> ResponseJudgement {
        match (header(response, "Request-Id"), head.header("Request-Id")) {
            (Some(reply), Some(requested)) if reply != requested => ResponseJudgement::Misdirected,
            _ if header(response, "Not-Run").is_some() => {
                ResponseJudgement::NotRun("the target states Not-Run".into())
            }
            (None, _) => ResponseJudgement::Invalid("no request id".into()),
            _ => ResponseJudgement::Complete,
        }
    }
    fn in_flight(&self, _response: &TargetResponse) -> Option<u64> {
        None
    }
}

pub fn response(request: &str, more: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n{more}Content-Length: {length}\r\n\r\n{body}"
    )
    .into()
}

/// Starts two targets with these scripts, and a node with [`RequestIdDialect`] that selects the
/// first target first.
pub fn two_targets(one: Vec<Script>, other: Vec<Script>) -> (ScriptedTarget, ScriptedTarget, Rig) {
    let one = ScriptedTarget::start("s-1", "s", one);
    let other = ScriptedTarget::start("s-2", "s", other);
    let with_two_slots = |target: postbarrow_state::Target, warming_up| postbarrow_state::Target {
        slots: 2,
        warming_up,
        ..target
    };
    let targets = vec![
        with_two_slots(target("s-1", "s", one.address), false),
        with_two_slots(target("s-2", "s", other.address), true),
    ];
    let rig = Rig::with_dialect(Arc::new(RequestIdDialect), targets, grant_all);
    (one, other, rig)
}

pub fn get(rig: &Rig, request: &str) -> String {
    rig.raw(format!("GET /look/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: {request}\r\n\r\n").as_bytes())
}

/// Asserts that a one-time request that may have run at the first target was not retried.
pub fn assert_not_retried(reply: &str, one: &ScriptedTarget, other: &ScriptedTarget) {
    assert!(reply.starts_with("HTTP/1.1 502") && reply.ends_with("sent"), "{reply}");
    let runs = (one.runs(), other.runs());
    assert_eq!(runs, (1, 0), "a request that may have run must not be retried");
}

#[test]
fn each_request_names_its_target_and_the_connection_is_reused() {
    let script = vec![Script::Reply(response("a", "", "1")), Script::Reply(response("b", "", "2"))];
    let (one, _, rig) = two_targets(script, vec![Script::Raw(Vec::new())]);
    assert!(get(&rig, "a").ends_with("\r\n\r\n1"));
    assert!(get(&rig, "b").ends_with("\r\n\r\n2"));
    let observed = one.observed.lock().unwrap().clone();
    assert!(observed.heads.iter().all(|head| head.contains("For: s-1")), "{:?}", observed.heads);
    assert_eq!((observed.heads.len(), observed.connections), (2, 1));
}

#[test]
fn late_second_response_is_never_relayed_for_the_next_request() {
    let late = [response("a", "", "late"), response("b", "", "own")].concat();
    let script = vec![Script::Reply(response("a", "", "1")), Script::Reply(late)];
    let (_, _, rig) = two_targets(script, vec![Script::Raw(Vec::new())]);
    assert!(get(&rig, "a").ends_with("\r\n\r\n1"));
    let reply = get(&rig, "b");
    assert!(reply.ends_with("\r\n\r\nown") && !reply.contains("late"), "{reply}");
}

#[test]
fn bytes_after_a_complete_response_are_discarded() {
    let extra = [response("a", "", "1"), response("a", "", "again")].concat();
    let script = vec![Script::Reply(extra), Script::Reply(response("b", "", "2"))];
    let (one, _, rig) = two_targets(script, vec![Script::Raw(Vec::new())]);
    let reply = get(&rig, "a");
    assert!(reply.ends_with("\r\n\r\n1") && !reply.contains("again"), "{reply}");
    assert!(get(&rig, "b").ends_with("\r\n\r\n2"));
    assert_eq!(
        one.observed.lock().unwrap().connections,
        2,
        "the first connection must not be reused"
    );
}

#[test]
fn one_time_request_is_retried_only_if_the_target_states_that_it_did_not_run() {
    let rejection = response("p", "Not-Run: full\r\n", "");
    let complete = response("p", "", "done");
    let (one, other, rig) =
        two_targets(vec![Script::Reply(rejection)], vec![Script::Reply(complete)]);
    assert!(rig.post("Request-Id: p\r\n", "x").ends_with("\r\n\r\ndone"));
    assert_eq!((one.runs(), other.runs()), (1, 1));
    let without_request_id = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec();
    let garbage = b"\x00\x01garbage\r\n\r\n".to_vec();
    for truncated in [Vec::new(), b"HTTP/1.1 2".to_vec(), garbage, without_request_id] {
        let complete = Script::Reply(response("p", "", "done"));
        let (one, other, rig) = two_targets(vec![Script::Raw(truncated)], vec![complete]);
        let reply = rig.post("Request-Id: p\r\n", "x");
        assert_not_retried(&reply, &one, &other);
        assert!(
            rig.settlements().is_empty(),
            "the ticket is local to this incarnation and not in the log"
        );
    }
}

#[test]
fn lookup_is_retried_after_an_invalid_response_and_is_unsent_without_targets() {
    let garbage = Script::Raw(b"\x00garbage\r\n\r\n".to_vec());
    let complete = Script::Reply(response("a", "", "complete"));
    let (one, other, rig) = two_targets(vec![garbage], vec![complete]);
    assert!(get(&rig, "a").ends_with("\r\n\r\ncomplete"));
    assert_eq!((one.runs(), other.runs()), (1, 1));
    rig.publish(Vec::new());
    let reply = get(&rig, "a");
    assert!(reply.starts_with("HTTP/1.1 503") && reply.ends_with("unsent"), "{reply}");
}

#[test]
fn chunked_response_is_relayed_complete_and_truncated_response_never_is() {
    let chunks = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n";
    let (_, _, rig) =
        two_targets(vec![Script::Reply(chunks.to_vec())], vec![Script::Raw(Vec::new())]);
    let reply = get(&rig, "a");
    assert!(reply.ends_with("\r\n\r\nabcde") && reply.contains("Content-Length: 5"), "{reply}");
    let truncated = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\nabc".to_vec();
    let (_, other, rig) = two_targets(vec![Script::Raw(truncated)], vec![Script::Raw(Vec::new())]);
    let reply = get(&rig, "a");
    assert!(reply.starts_with("HTTP/1.1 502"), "a truncated body never looks complete: {reply}");
    assert_eq!(other.runs(), 1, "the lookup must be retried at the other target");
}
