//! Missing responses, resets and extra responses on connections to targets that identify
//! themselves.

use super::rig::*;
use postbarrow_state::Settlement;

fn complete(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into()
}

fn setup(script: Vec<Script>) -> (ScriptedTarget, Rig) {
    let scripted = ScriptedTarget::start("s-1", "s", script);
    let rig = Rig::new(vec![target("s-1", "s", scripted.address)], grant_all);
    (scripted, rig)
}

/// Returns whether the second request ran and got its own response, or did not run and got the
/// outcome `not-run`. The latter is allowed because a connection that proves unusable after it was
/// taken from the pool counts as the one attempt at this target.
fn is_own_response_or_unsent(reply: &str, scripted: &ScriptedTarget) -> bool {
    let unsent = reply.starts_with("HTTP/1.1 503") && reply.contains("not-run");
    match scripted.runs() {
        1 => unsent,
        2 => reply.ends_with("\r\n\r\n2"),
        _ => false,
    }
}

#[test]
fn extra_response_after_the_first_is_never_relayed_for_the_next_request() {
    let extra = [complete("1"), complete("again")].concat();
    let (scripted, rig) = setup(vec![Script::Reply(extra), Script::Complete("2")]);
    assert!(rig.post("", "a").ends_with("\r\n\r\n1"));
    let reply = rig.post("", "b");
    assert!(is_own_response_or_unsent(&reply, &scripted), "{reply}");
}

#[test]
fn bytes_or_reset_on_an_idle_connection_never_reach_the_next_request() {
    for bytes in [Some(complete("again")), Some(b"garbage\r\n\r\n".to_vec()), None] {
        let (idle_trigger, signal) = trigger();
        let first = match bytes {
            Some(bytes) => Script::Delayed(complete("1"), signal, bytes),
            None => Script::DelayedReset(complete("1"), signal),
        };
        let (scripted, rig) = setup(vec![first, Script::Complete("2")]);
        assert!(rig.post("", "a").ends_with("\r\n\r\n1"));
        idle_trigger.fire();
        let reply = rig.post("", "b");
        assert!(is_own_response_or_unsent(&reply, &scripted), "{reply}");
    }
}

#[test]
fn reset_at_any_point_of_a_response_settles_a_one_time_request_as_unknown() {
    let done = complete("done");
    for truncated in [Vec::new(), done[..20].to_vec(), done[..done.len() - 2].to_vec()] {
        let (scripted, rig) = setup(vec![Script::Reset(truncated)]);
        let reply = rig.post("", "a");
        assert!(reply.starts_with("HTTP/1.1 502") && reply.contains("unknown"), "{reply}");
        assert_eq!((scripted.runs(), rig.settlements()), (1, vec![Settlement::Unknown]));
    }
}

#[test]
fn one_time_request_without_response_is_unknown_and_its_late_response_is_discarded() {
    let (late, signal) = trigger();
    let (scripted, rig) =
        setup(vec![Script::Delayed(Vec::new(), signal, complete("late")), Script::Complete("2")]);
    let reply = rig.post("", "a");
    assert!(reply.starts_with("HTTP/1.1 504") && reply.contains("unknown"), "{reply}");
    assert!(
        rig.post("", "b").ends_with("\r\n\r\n2"),
        "the request was sent on the unresponsive connection"
    );
    late.fire();
    let reply = rig.post("", "c");
    assert!(reply.ends_with("\r\n\r\n2") && !reply.contains("late"), "{reply}");
    assert_eq!(scripted.runs(), 3);
    assert_eq!(rig.settlements(), [Settlement::Unknown, Settlement::Ran, Settlement::Ran]);
}
