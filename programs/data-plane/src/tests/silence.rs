//! Silence, resets and late answers on connections to targets that are named in each request.

use super::named::{Words, get, response, two};
use super::rig::*;
use crate::TargetIdentification;
use crate::target_connection::{EndsWithClient, Outgoing, TargetConnection, Terms};
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::head::parse;
use postbarrow_downstream::memory_budget::MemoryBudget;
use postbarrow_node::AttemptOutcome;
use postbarrow_transport::clock_ms;

/// Long enough for a request to reach its target, short enough for a test.
const SHORT: &str = "Request: p\r\nWait-Ms: 300\r\n";

fn silent(late: Vec<u8>) -> (Moment, Script) {
    let (moment, cue) = moment();
    (moment, Script::Later(Vec::new(), cue, late))
}

fn connections(target: &ScriptedTarget) -> usize {
    target.seen.lock().unwrap().connections
}

#[test]
fn a_posting_that_got_no_answer_is_never_sent_again_and_its_connection_never_used_again() {
    let (late, silent) = silent(response("p", "", "late"));
    let script = vec![silent, Script::Reply(response("q", "", "own"))];
    let (one, other, rig) = two(script, vec![Script::Raw(Vec::new())]);
    let told = rig.post(SHORT, "x");
    assert!(told.starts_with("HTTP/1.1 502") && told.ends_with("sent"), "{told}");
    assert_eq!((one.runs(), other.runs()), (1, 0), "it may have run");
    let told = get(&rig, "q");
    assert!(told.ends_with("\r\n\r\nown"), "sent on the silent connection: {told}");
    late.comes();
    let told = get(&rig, "q");
    assert!(told.ends_with("\r\n\r\nown"), "the late answer is nobody's: {told}");
    assert_eq!((one.runs(), connections(&one)), (3, 2), "the silent connection was left");
}

#[test]
fn a_lookup_that_got_no_answer_in_its_time_is_told_so_and_leaves_its_connection() {
    let (late, silent) = silent(response("p", "", "late"));
    let script = vec![silent, Script::Reply(response("q", "", "own"))];
    let (one, _, rig) = two(script, vec![Script::Raw(Vec::new())]);
    let look = format!("GET /look/1 HTTP/1.1\r\nHost: h\r\n{SHORT}\r\n");
    let told = rig.raw(look.as_bytes());
    assert!(told.starts_with("HTTP/1.1 502") && !told.contains("late"), "{told}");
    assert!(get(&rig, "q").ends_with("\r\n\r\nown"), "sent on the silent connection");
    late.comes();
    assert!(get(&rig, "q").ends_with("\r\n\r\nown"));
    assert_eq!(connections(&one), 2);
}

#[test]
fn a_reset_before_or_amid_an_answer_ends_a_posting_and_sends_a_lookup_elsewhere() {
    let whole = response("p", "", "done");
    for cut in [Vec::new(), whole[..20].to_vec(), whole[..whole.len() - 2].to_vec()] {
        let good = || vec![Script::Reply(whole.clone())];
        let (one, other, rig) = two(vec![Script::Reset(cut.clone())], good());
        let told = rig.post("Request: p\r\n", "x");
        assert!(told.starts_with("HTTP/1.1 502") && told.ends_with("sent"), "{told}");
        assert_eq!((one.runs(), other.runs()), (1, 0), "it may have run");
        let (one, other, rig) = two(vec![Script::Reset(cut)], good());
        assert!(get(&rig, "p").ends_with("\r\n\r\ndone"));
        assert_eq!((one.runs(), other.runs()), (1, 1));
    }
}

#[test]
fn a_connection_reset_or_spoken_on_while_it_rests_is_not_used_again() {
    let extra = [response("a", "", "again"), b"garbage\r\n\r\n".to_vec()];
    for bytes in extra.map(Some).into_iter().chain([None]) {
        let (later, cue) = moment();
        let first = response("a", "", "1");
        let first = match bytes {
            Some(bytes) => Script::Later(first, cue, bytes),
            None => Script::LaterReset(first, cue),
        };
        let script = vec![first, Script::Reply(response("p", "", "2"))];
        let (one, other, rig) = two(script, vec![Script::Raw(Vec::new())]);
        assert!(get(&rig, "a").ends_with("\r\n\r\n1"));
        later.comes();
        assert!(rig.post("Request: p\r\n", "x").ends_with("\r\n\r\n2"));
        assert_eq!((one.runs(), other.runs(), connections(&one)), (2, 0, 2));
    }
}

#[test]
fn garbage_right_behind_a_whole_answer_leaves_the_connection_to_nobody() {
    let extra = [response("a", "", "1"), b"garbage\r\n\r\n".to_vec()].concat();
    let script = vec![Script::Reply(extra), Script::Reply(response("b", "", "2"))];
    let (one, _, rig) = two(script, vec![Script::Raw(Vec::new())]);
    assert!(get(&rig, "a").ends_with("\r\n\r\n1"));
    assert!(get(&rig, "b").ends_with("\r\n\r\n2"));
    assert_eq!(connections(&one), 2);
}

#[test]
fn another_instance_at_the_same_address_gets_a_connection_of_its_own() {
    let script = vec![Script::Reply(response("a", "", "1")), Script::Reply(response("b", "", "2"))];
    let (one, _, rig) = two(script, vec![Script::Raw(Vec::new())]);
    assert!(get(&rig, "a").ends_with("\r\n\r\n1"));
    rig.publish(vec![target("s-9", "s", one.address)]);
    assert!(get(&rig, "b").ends_with("\r\n\r\n2"));
    let seen = one.seen.lock().unwrap().clone();
    assert!(seen.heads[1].contains("For: s-9"), "{:?}", seen.heads);
    assert_eq!(seen.connections, 2, "the connection was opened to another instance");
}

#[test]
fn a_target_that_is_another_turns_requests_away_and_they_run_once_elsewhere() {
    let away = || vec![Script::Reply(response("p", "Not-Run: another stands here\r\n", ""))];
    let whole = || vec![Script::Reply(response("p", "", "done"))];
    let (one, other, rig) = two(away(), whole());
    assert!(get(&rig, "p").ends_with("\r\n\r\ndone"), "a lookup goes on");
    assert_eq!((one.runs(), other.runs()), (1, 1));
    let (one, other, rig) = two(away(), away());
    let told = rig.post("Request: p\r\n", "x");
    assert!(told.starts_with("HTTP/1.1 503") && told.ends_with("unsent"), "{told}");
    assert_eq!((one.runs(), other.runs()), (1, 1), "each said that it did not run it");
}

#[test]
fn a_request_that_its_last_look_forbids_sends_no_byte() {
    let one = ScriptedTarget::start("s-1", "s", vec![Script::Reply(response("p", "", "done"))]);
    let text = b"POST /post/1 HTTP/1.1\r\nHost: h\r\nAsk: p\r\nContent-Length: 1\r\n\r\n";
    let (head, _) = parse(text).unwrap().unwrap();
    let until_ms = clock_ms() + 60_000;
    let nobody = ClientWatch::nobody();
    let request = Outgoing {
        method: &head.method,
        path: &head.target,
        headers: &[],
        body: b"x",
        until_ms,
        repeatable: false,
    };
    let mut memory = MemoryBudget::new(1_000).reserve(0).unwrap();
    let mut pass = |allowed: bool| {
        let terms = Terms {
            may_send: &|| allowed,
            client: &nobody,
            ends_with_client: EndsWithClient::Never,
            judge: &|response, first| Words.judge_response(&head, response, first),
        };
        let connection = TargetConnection::open(one.address, until_ms, &nobody).unwrap();
        connection.pass(&request, &terms, &mut memory)
    };
    let (passed, kept) = pass(false);
    assert!(matches!(passed, AttemptOutcome::Unsent(_)) && kept.is_none(), "{passed:?}");
    let (passed, kept) = pass(true);
    assert!(matches!(passed, AttemptOutcome::Complete(_)) && kept.is_some(), "{passed:?}");
    assert_eq!(one.runs(), 1, "the forbidden one never came");
}
