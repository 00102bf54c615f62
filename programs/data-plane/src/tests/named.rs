use super::rig::*;
use crate::{Dialect, NodeEndpoint, ResponseJudgement, TargetIdentification};
use postbarrow_downstream::head::Head;
use postbarrow_node::{Completion, RequestOutcome, TargetResponse};
use std::sync::Arc;

/// Targets that prove nothing, but name the ask in each response.
pub struct Words;

fn header<'h>(response: &'h TargetResponse, name: &str) -> Option<&'h str> {
    let mut all = response.headers.iter();
    all.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

impl Dialect for Words {
    fn node_endpoint(&self, _head: &Head) -> Option<NodeEndpoint> {
        None
    }
    fn client_timeout_ms(&self, head: &Head) -> Option<u64> {
        head.header("Wait-Ms")?.parse().ok()
    }
    fn idempotency_key<'h>(&self, _head: &'h Head) -> Option<&'h str> {
        None
    }
    fn render_completion(&self, verdict: Completion) -> TargetResponse {
        let (status, sent) = match verdict.outcome {
            RequestOutcome::Complete(response) => return response,
            _ if verdict.evidence.may_have_run => (502, "sent"),
            _ => (503, "unsent"),
        };
        TargetResponse { status, headers: Vec::new(), body: sent.into() }
    }
    fn render_rejection(&self, status: u16, _unsure: bool, why: &str) -> TargetResponse {
        TargetResponse { status, headers: Vec::new(), body: why.into() }
    }
    fn target_identification(&self) -> Option<&dyn TargetIdentification> {
        Some(self)
    }
}

impl TargetIdentification for Words {
    fn headers(&self, _head: &Head, instance: &str, _left_ms: u64) -> Vec<(String, String)> {
        vec![("For".into(), instance.into())]
    }
    fn judge_response(
        &self,
        head: &Head,
        response: &TargetResponse,
        _first: bool,
    ) -> ResponseJudgement {
        match (header(response, "Ask"), head.header("Ask")) {
            (Some(told), Some(asked)) if told != asked => ResponseJudgement::Misdirected,
            _ if header(response, "Not-Run").is_some() => {
                ResponseJudgement::NotRun("it says so".into())
            }
            (None, _) => ResponseJudgement::Unsound("no ask".into()),
            _ => ResponseJudgement::Complete,
        }
    }
    fn in_flight(&self, _response: &TargetResponse) -> Option<u64> {
        None
    }
}

pub fn response(ask: &str, more: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nAsk: {ask}\r\n{more}Content-Length: {length}\r\n\r\n{body}").into()
}

/// Two targets with one script each, and a node that speaks these words.
pub fn two(one: Vec<Script>, other: Vec<Script>) -> (ScriptedTarget, ScriptedTarget, Rig) {
    let one = ScriptedTarget::start("s-1", "s", one);
    let other = ScriptedTarget::start("s-2", "s", other);
    let slots = |target: postbarrow_state::Target, cold| postbarrow_state::Target {
        slots: 2,
        warming_up: cold,
        ..target
    };
    let targets = vec![
        slots(target("s-1", "s", one.address), false),
        slots(target("s-2", "s", other.address), true),
    ];
    let rig = Rig::speaking(Arc::new(Words), targets, yes);
    (one, other, rig)
}

pub fn get(rig: &Rig, ask: &str) -> String {
    rig.raw(format!("GET /look/1 HTTP/1.1\r\nHost: h\r\nAsk: {ask}\r\n\r\n").as_bytes())
}

#[test]
fn each_ask_names_its_target_and_a_connection_is_used_again() {
    let script = vec![Script::Reply(response("a", "", "1")), Script::Reply(response("b", "", "2"))];
    let (one, _, rig) = two(script, vec![Script::Raw(Vec::new())]);
    assert!(get(&rig, "a").ends_with("\r\n\r\n1"));
    assert!(get(&rig, "b").ends_with("\r\n\r\n2"));
    let seen = one.seen.lock().unwrap().clone();
    assert!(seen.heads.iter().all(|head| head.contains("For: s-1")), "{:?}", seen.heads);
    assert_eq!((seen.heads.len(), seen.connections), (2, 1));
}

#[test]
fn a_second_response_that_comes_late_is_never_the_next_asks() {
    let late = [response("a", "", "late"), response("b", "", "own")].concat();
    let script = vec![Script::Reply(response("a", "", "1")), Script::Reply(late)];
    let (_, _, rig) = two(script, vec![Script::Raw(Vec::new())]);
    assert!(get(&rig, "a").ends_with("\r\n\r\n1"));
    let told = get(&rig, "b");
    assert!(told.ends_with("\r\n\r\nown") && !told.contains("late"), "{told}");
}

#[test]
fn bytes_after_a_whole_response_belong_to_nobody() {
    let extra = [response("a", "", "1"), response("a", "", "again")].concat();
    let script = vec![Script::Reply(extra), Script::Reply(response("b", "", "2"))];
    let (one, _, rig) = two(script, vec![Script::Raw(Vec::new())]);
    let told = get(&rig, "a");
    assert!(told.ends_with("\r\n\r\n1") && !told.contains("again"), "{told}");
    assert!(get(&rig, "b").ends_with("\r\n\r\n2"));
    assert_eq!(one.seen.lock().unwrap().connections, 2, "the first was not used again");
}

#[test]
fn a_posting_goes_on_only_with_the_targets_word_that_it_did_not_run() {
    let away = response("p", "Not-Run: full\r\n", "");
    let whole = response("p", "", "done");
    let (one, other, rig) = two(vec![Script::Reply(away)], vec![Script::Reply(whole)]);
    assert!(rig.post("Ask: p\r\n", "x").ends_with("\r\n\r\ndone"));
    assert_eq!((one.runs(), other.runs()), (1, 1));
    let nameless = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec();
    let garbage = b"\x00\x01garbage\r\n\r\n".to_vec();
    for cut in [Vec::new(), b"HTTP/1.1 2".to_vec(), garbage, nameless] {
        let whole = Script::Reply(response("p", "", "done"));
        let (one, other, rig) = two(vec![Script::Raw(cut)], vec![whole]);
        let told = rig.post("Ask: p\r\n", "x");
        assert!(told.starts_with("HTTP/1.1 502") && told.ends_with("sent"), "{told}");
        assert_eq!((one.runs(), other.runs()), (1, 0), "it may have run");
        assert!(rig.settled().is_empty(), "its ticket is the life's own, not the log's");
    }
}

#[test]
fn a_lookup_goes_again_after_garbage_and_no_target_is_told_as_unsent() {
    let garbage = Script::Raw(b"\x00garbage\r\n\r\n".to_vec());
    let whole = Script::Reply(response("a", "", "whole"));
    let (one, other, rig) = two(vec![garbage], vec![whole]);
    assert!(get(&rig, "a").ends_with("\r\n\r\nwhole"));
    assert_eq!((one.runs(), other.runs()), (1, 1));
    rig.publish(Vec::new());
    let told = get(&rig, "a");
    assert!(told.starts_with("HTTP/1.1 503") && told.ends_with("unsent"), "{told}");
}

#[test]
fn chunks_and_heads_in_pieces_make_one_whole_response() {
    let chunks = b"HTTP/1.1 200 OK\r\nAsk: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n";
    let (_, _, rig) = two(vec![Script::Reply(chunks.to_vec())], vec![Script::Raw(Vec::new())]);
    let told = get(&rig, "a");
    assert!(told.ends_with("\r\n\r\nabcde") && told.contains("Content-Length: 5"), "{told}");
    let cut = b"HTTP/1.1 200 OK\r\nAsk: a\r\nContent-Length: 9\r\n\r\nabc".to_vec();
    let (_, other, rig) = two(vec![Script::Raw(cut)], vec![Script::Raw(Vec::new())]);
    let told = get(&rig, "a");
    assert!(told.starts_with("HTTP/1.1 502"), "a cut body never looks whole: {told}");
    assert_eq!(other.runs(), 1, "the other was tried as well");
}
