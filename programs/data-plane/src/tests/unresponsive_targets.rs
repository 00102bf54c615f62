//! Missing responses, resets and second responses on connections to targets that identified themselves.

use super::rig::*;
use postbarrow_state::Settlement;

fn complete(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into()
}

fn one(script: Vec<Script>) -> (ScriptedTarget, Rig) {
    let scripted = ScriptedTarget::start("s-1", "s", script);
    let rig = Rig::new(vec![target("s-1", "s", scripted.address)], grant_all);
    (scripted, rig)
}

/// The second request got the second response, or a response that it did not run, and it never ran: a
/// connection found unusable after it left the pool counts as this target's one attempt.
fn is_own_response_or_unsent(reply: &str, scripted: &ScriptedTarget) -> bool {
    let unsent = reply.starts_with("HTTP/1.1 503") && reply.contains("not-run");
    match scripted.runs() {
        1 => unsent,
        2 => reply.ends_with("\r\n\r\n2"),
        _ => false,
    }
}

#[test]
fn second_response_directly_after_the_first_never_answers_the_next_request() {
    let extra = [complete("1"), complete("again")].concat();
    let (scripted, rig) = one(vec![Script::Reply(extra), Script::Complete("2")]);
    assert!(rig.post("", "a").ends_with("\r\n\r\n1"));
    let reply = rig.post("", "b");
    assert!(is_own_response_or_unsent(&reply, &scripted), "{reply}");
}

#[test]
fn bytes_or_reset_on_an_idle_connection_never_reach_the_next_request() {
    for bytes in [Some(complete("again")), Some(b"garbage\r\n\r\n".to_vec()), None] {
        let (later, cue) = trigger();
        let first = match bytes {
            Some(bytes) => Script::Delayed(complete("1"), cue, bytes),
            None => Script::DelayedReset(complete("1"), cue),
        };
        let (scripted, rig) = one(vec![first, Script::Complete("2")]);
        assert!(rig.post("", "a").ends_with("\r\n\r\n1"));
        later.fire();
        let reply = rig.post("", "b");
        assert!(is_own_response_or_unsent(&reply, &scripted), "{reply}");
    }
}

#[test]
fn reset_at_any_point_of_a_response_settles_a_one_time_request_as_unknown() {
    let done = complete("done");
    for truncated in [Vec::new(), done[..20].to_vec(), done[..done.len() - 2].to_vec()] {
        let (scripted, rig) = one(vec![Script::Reset(truncated)]);
        let reply = rig.post("", "a");
        assert!(reply.starts_with("HTTP/1.1 502") && reply.contains("unknown"), "{reply}");
        assert_eq!((scripted.runs(), rig.settlements()), (1, vec![Settlement::Unknown]));
    }
}

#[test]
fn one_time_request_without_response_is_unknown_and_its_late_response_is_discarded() {
    let (late, cue) = trigger();
    let (scripted, rig) =
        one(vec![Script::Delayed(Vec::new(), cue, complete("late")), Script::Complete("2")]);
    let reply = rig.post("", "a");
    assert!(reply.starts_with("HTTP/1.1 504") && reply.contains("unknown"), "{reply}");
    assert!(rig.post("", "b").ends_with("\r\n\r\n2"), "sent on the unresponsive connection");
    late.fire();
    let reply = rig.post("", "c");
    assert!(reply.ends_with("\r\n\r\n2") && !reply.contains("late"), "{reply}");
    assert_eq!(scripted.runs(), 3);
    assert_eq!(rig.settlements(), [Settlement::Unknown, Settlement::Ran, Settlement::Ran]);
}
