//! Tickets, one-time requests and calls: what was promised stays.

use super::*;

#[test]
fn a_target_that_proves_itself_late_gets_nothing_of_a_client_that_left() {
    for request in [LOOK, POST] {
        let (seen, watched) = sightings();
        let one = ScriptedTarget::unproved("s-1", "s", watched);
        let other = ScriptedTarget::start("s-2", "s", answers());
        let rig = node(false, &[("s-1", &one), ("s-2", &other)]);
        let stream = client(&rig, request);
        hears(&seen.began, "the target was never asked for its proof");
        leave(stream, Leave::Close);
        hears(&seen.ended, "the target is still asked for its proof");
        holds_nothing(&rig);
        assert_eq!((one.runs(), other.runs()), (0, 0));
        assert!(rig.settled().is_empty(), "no ticket was asked for");
    }
}

/// A one-time request whose client leaves while its ticket is asked for.
fn left_without_a_ticket(how: Leave) -> (ScriptedTarget, Rig, impl Fn()) {
    let one = ScriptedTarget::start("s-1", "s", vec![Script::Whole("x")]);
    let (rig, asked, speak) = silent_controller(&[("s-1", &one)]);
    let stream = client(&rig, POST);
    hears(&asked, "no ticket was asked for");
    leave(stream, how);
    (one, rig, speak)
}

#[test]
fn a_ticket_granted_after_its_client_left_is_settled_unsent_and_never_used() {
    for how in BOTH {
        let (one, rig, speak) = left_without_a_ticket(how);
        holds_nothing(&rig);
        speak();
        assert_eq!(rig.settled(), [Settlement::Unsent], "{how:?}");
        assert_eq!(one.runs(), 0, "{how:?}");
        assert_eq!(rig.withdrawn(), 1, "its question is not sent again");
    }
}

#[test]
fn a_ticket_granted_right_after_its_client_left_is_never_used() {
    for how in BOTH {
        let (one, rig, speak) = left_without_a_ticket(how);
        speak();
        holds_nothing(&rig);
        assert_eq!(one.runs(), 0, "{how:?}");
        assert_eq!(rig.settled(), [Settlement::Unsent], "{how:?}");
    }
}

#[test]
fn a_one_time_request_at_its_target_runs_on_and_is_settled_as_it_ended() {
    for how in BOTH {
        let (ends, cue) = moment();
        let whole = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone".to_vec();
        let one = ScriptedTarget::start("s-1", "s", vec![Script::Later(Vec::new(), cue, whole)]);
        let rig = node(false, &[("s-1", &one)]);
        let stream = client(&rig, POST);
        gets(&one);
        leave(stream, how);
        ends.comes();
        rests(&rig);
        assert_eq!(rig.settled(), [Settlement::Ran], "{how:?}");
        let kept = rig.asked.lock().unwrap().iter().any(|request| {
            matches!(request, Request::Settle { response: Some(kept), .. } if kept.body == b"done")
        });
        assert!(kept, "the answer is kept for a repeat under its key");
    }
}

/// A large one-time request whose client leaves while a target that does not read has its beginning.
fn left_amid_its_sending(key: &str) -> (UnreadingTarget, Rig) {
    let unreading = UnreadingTarget::start("s-1", "s");
    let rig = Rig::new(Vec::new(), yes);
    rig.publish_with(vec![target("s-1", "s", unreading.address)], LONG_MS);
    let head =
        format!("POST /large/1 HTTP/1.1\r\nHost: h\r\n{key}Content-Length: {LARGE_BYTES}\r\n\r\n");
    let mut stream = client(&rig, head.as_bytes());
    stream.write_all(&vec![7; LARGE_BYTES as usize]).unwrap();
    hears(&unreading.began, "the target never got its beginning");
    leave(stream, Leave::Close);
    (unreading, rig)
}

#[test]
fn a_one_time_request_that_nobody_can_come_back_for_is_sent_no_further() {
    let (unreading, rig) = left_amid_its_sending("");
    holds_nothing(&rig);
    assert_eq!(rig.settled(), [Settlement::Unknown], "its target may have begun");
    assert_eq!(unreading.reads_on(), None, "what was on its way is taken back");
}

#[test]
fn a_one_time_request_with_its_clients_key_is_sent_to_its_end() {
    let (unreading, rig) = left_amid_its_sending("Idempotency-Key: k\r\n");
    assert_eq!(unreading.reads_on(), Some(LARGE_BYTES as usize));
    rests(&rig);
    assert_eq!(rig.settled(), [Settlement::Ran], "a repeat under its key gets the answer");
}

#[test]
fn a_one_time_request_that_was_turned_away_goes_nowhere_else_without_its_client() {
    let (ends, cue) = moment();
    let away = response("p", "Not-Run: full\r\n", "");
    let one = ScriptedTarget::start("s-1", "s", vec![Script::Later(Vec::new(), cue, away)]);
    let other = ScriptedTarget::start("s-2", "s", answers());
    let rig = node(true, &[("s-1", &one), ("s-2", &other)]);
    let stream = client(&rig, POST);
    gets(&one);
    leave(stream, Leave::Close);
    ends.comes();
    rests(&rig);
    assert_eq!((one.runs(), other.runs()), (1, 0));
}

#[test]
fn a_call_or_watch_whose_caller_left_gives_its_place_back_and_is_asked_no_more() {
    let calls = ["POST /coordination/numbers/n", "GET /coordination/watch/numbers?after=3"];
    for call in calls {
        let (rig, asked, speak) = silent_controller(&[]);
        let head = format!("{call} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        let stream = client(&rig, head.as_bytes());
        hears(&asked, "the controller was never asked");
        leave(stream, Leave::Close);
        rests(&rig);
        speak();
        assert_eq!(rig.withdrawn(), 1, "{call}");
        let asked = rig.asked.lock().unwrap();
        let calls = asked.iter().filter(|request| matches!(request, Request::Call { .. }));
        assert_eq!(calls.count(), 1, "{call}");
    }
}
