//! Requests that may be repeated, and bodies and responses on their way.

use super::*;
use std::io::Read;

#[test]
fn work_on_a_lookup_ends_when_its_client_leaves() {
    for (named, how) in [false, true].into_iter().flat_map(|named| BOTH.map(|how| (named, how))) {
        let (seen, watched) = sightings();
        let one = ScriptedTarget::start("s-1", "s", vec![Script::Hold(watched)]);
        let other = ScriptedTarget::start("s-2", "s", answers());
        let rig = node(named, &[("s-1", &one), ("s-2", &other)]);
        let stream = client(&rig, LOOK);
        hears(&seen.began, "the target never got it");
        leave(stream, how);
        hears(&seen.ended, "the target still works for a client that left");
        holds_nothing(&rig);
        assert_eq!((one.runs(), other.runs()), (1, 0), "named {named}, {how:?}");
    }
}

#[test]
fn work_ends_for_a_client_that_leaves_behind_its_next_request() {
    let (seen, watched) = sightings();
    let one = ScriptedTarget::start("s-1", "s", vec![Script::Hold(watched)]);
    let rig = node(true, &[("s-1", &one)]);
    let stream = client(&rig, &[LOOK, LOOK].concat());
    hears(&seen.began, "the target never got it");
    leave(stream, Leave::Close);
    hears(&seen.ended, "the target still works for a client that left");
    holds_nothing(&rig);
    assert_eq!(one.runs(), 1, "its next request is begun no more");
}

#[test]
fn a_lookup_whose_target_breaks_after_its_client_left_goes_nowhere_else() {
    for how in BOTH {
        let (breaks, cue) = moment();
        let one = ScriptedTarget::start("s-1", "s", vec![Script::LaterReset(Vec::new(), cue)]);
        let other = ScriptedTarget::start("s-2", "s", answers());
        let rig = node(true, &[("s-1", &one), ("s-2", &other)]);
        let stream = client(&rig, LOOK);
        gets(&one);
        leave(stream, how);
        breaks.comes();
        holds_nothing(&rig);
        assert_eq!((one.runs(), other.runs()), (1, 0), "{how:?}");
    }
}

#[test]
fn a_body_on_its_way_to_a_target_that_does_not_read_goes_no_further() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let rig = Rig::speaking(Arc::new(Words), Vec::new(), yes);
    let unread = target("s-1", "s", listener.local_addr().unwrap());
    rig.publish_with(vec![unread], LONG_MS);
    let body = vec![7; LARGE_BYTES as usize];
    let head = format!(
        "PUT /large/1 HTTP/1.1\r\nHost: h\r\nAsk: p\r\nContent-Length: {LARGE_BYTES}\r\n\r\n"
    );
    let mut stream = client(&rig, head.as_bytes());
    stream.write_all(&body).unwrap();
    let (mut target, _) = listener.accept().unwrap();
    let mut first = [0; 3];
    target.read_exact(&mut first).unwrap();
    assert_eq!(&first, b"PUT");
    leave(stream, Leave::Close);
    holds_nothing(&rig);
    let mut rest = Vec::new();
    let _ = target.read_to_end(&mut rest);
    assert!(rest.len() < LARGE_BYTES as usize, "the whole body went out all the same");
    assert!(rig.shared.memory.reserve(LARGE_BYTES).is_some(), "its memory is free again");
}

#[test]
fn a_client_that_leaves_amid_its_body_or_its_response_leaves_nothing_behind() {
    let mut large = format!("HTTP/1.1 200 OK\r\nAsk: p\r\nContent-Length: {LARGE}\r\n\r\n");
    large.push_str(&"a".repeat(LARGE));
    let one = ScriptedTarget::start("s-1", "s", vec![Script::Reply(large.into_bytes())]);
    let rig = node(true, &[("s-1", &one)]);
    let mut stream = client(&rig, LOOK);
    let mut first = [0; 1];
    stream.read_exact(&mut first).unwrap();
    leave(stream, Leave::Close);
    let half = b"POST /post/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc";
    leave(client(&rig, half), Leave::Close);
    holds_nothing(&rig);
    for _ in 0..HANG.as_millis() {
        if rig.shared.downstreams.load(Relaxed) == 0 {
            break;
        }
        thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(rig.shared.downstreams.load(Relaxed), 0, "connections of clients that left");
    let free = |memory: &Arc<postbarrow_downstream::memory_budget::MemoryBudget>| {
        memory.reserve(postbarrow_constants::traffic::BODIES_BYTES as u64).is_some()
    };
    assert!(free(&rig.shared.responses) && free(&rig.shared.memory), "memory of both ways");
}

#[test]
fn a_body_is_not_waited_for_longer_than_its_client_waits() {
    let one = ScriptedTarget::start("s-1", "s", answers());
    let rig = node(true, &[("s-1", &one)]);
    let half = b"POST /post/1 HTTP/1.1\r\nHost: h\r\nWait-Ms: 1\r\nContent-Length: 9\r\n\r\nabc";
    let mut stream = client(&rig, half);
    stream.set_read_timeout(Some(HANG)).unwrap();
    let mut told = String::new();
    stream.read_to_string(&mut told).expect("it is answered without its body's rest");
    assert!(told.starts_with("HTTP/1.1 408"), "{told}");
    holds_nothing(&rig);
    assert_eq!(one.runs(), 0);
}
