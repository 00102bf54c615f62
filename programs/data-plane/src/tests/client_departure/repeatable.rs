//! Departures of clients during lookups, and while a body or response is transferred.

use super::*;
use std::io::Read;

#[test]
fn lookup_at_its_target_is_cancelled_when_its_client_departs() {
    for (named, departure) in
        [false, true].into_iter().flat_map(|named| DEPARTURES.map(|departure| (named, departure)))
    {
        let (observed, observer) = observations();
        let one = ScriptedTarget::start("s-1", "s", vec![Script::Hang(observer)]);
        let other = ScriptedTarget::start("s-2", "s", done_script());
        let rig = start_node(named, &[("s-1", &one), ("s-2", &other)]);
        let stream = client(&rig, LOOKUP);
        await_signal(&observed.began, "the target never got the request");
        depart(stream, departure);
        await_signal(&observed.ended, "the target still runs a departed client's request");
        assert_all_released(&rig);
        assert_eq!((one.runs(), other.runs()), (1, 0), "named {named}, {departure:?}");
    }
}

#[test]
fn lookup_is_cancelled_when_its_client_departs_with_a_pipelined_request_unread() {
    let (observed, observer) = observations();
    let one = ScriptedTarget::start("s-1", "s", vec![Script::Hang(observer)]);
    let rig = start_node(true, &[("s-1", &one)]);
    let stream = client(&rig, &[LOOKUP, LOOKUP].concat());
    await_signal(&observed.began, "the target never got the request");
    depart(stream, Departure::Close);
    await_signal(&observed.ended, "the target still runs a departed client's request");
    assert_all_released(&rig);
    assert_eq!(one.runs(), 1, "the pipelined request must not be started");
}

#[test]
fn lookup_whose_target_fails_after_its_client_departed_is_not_retried() {
    for departure in DEPARTURES {
        let (reset_trigger, signal) = trigger();
        let one = ScriptedTarget::start("s-1", "s", vec![Script::DelayedReset(Vec::new(), signal)]);
        let other = ScriptedTarget::start("s-2", "s", done_script());
        let rig = start_node(true, &[("s-1", &one), ("s-2", &other)]);
        let stream = client(&rig, LOOKUP);
        await_request(&one);
        depart(stream, departure);
        reset_trigger.fire();
        assert_all_released(&rig);
        assert_eq!((one.runs(), other.runs()), (1, 0), "{departure:?}");
    }
}

#[test]
fn body_sent_to_a_target_that_does_not_read_stops_when_its_client_departs() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let rig = Rig::with_dialect(Arc::new(RequestIdDialect), Vec::new(), grant_all);
    let non_reading_target = target("s-1", "s", listener.local_addr().unwrap());
    rig.publish_with(vec![non_reading_target], LONG_DEADLINE_MS);
    let body = vec![7; LARGE_BYTES as usize];
    let head = format!(
        "PUT /large/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: p\r\nContent-Length: {LARGE_BYTES}\r\n\r\n"
    );
    let mut stream = client(&rig, head.as_bytes());
    stream.write_all(&body).unwrap();
    let (mut target, _) = listener.accept().unwrap();
    let mut first = [0; 3];
    target.read_exact(&mut first).unwrap();
    assert_eq!(&first, b"PUT");
    depart(stream, Departure::Close);
    assert_all_released(&rig);
    let mut rest = Vec::new();
    let _ = target.read_to_end(&mut rest);
    assert!(rest.len() < LARGE_BYTES as usize, "the complete body was sent to the target");
    assert!(
        rig.shared.memory.request_bodies.reserve(LARGE_BYTES).is_some(),
        "the memory of the body was not released"
    );
}

#[test]
fn client_that_departs_during_its_body_or_response_releases_all_resources() {
    let mut large = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: p\r\nContent-Length: {LARGE_RESPONSE_BYTES}\r\n\r\n"
    );
    large.push_str(&"a".repeat(LARGE_RESPONSE_BYTES));
    let one = ScriptedTarget::start("s-1", "s", vec![Script::Reply(large.into_bytes())]);
    let rig = start_node(true, &[("s-1", &one)]);
    let mut stream = client(&rig, LOOKUP);
    let mut first = [0; 1];
    stream.read_exact(&mut first).unwrap();
    depart(stream, Departure::Close);
    let incomplete_post = b"POST /post/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc";
    depart(client(&rig, incomplete_post), Departure::Close);
    assert_all_released(&rig);
    for _ in 0..HANG_TIMEOUT.as_millis() {
        if rig.shared.admission.connections.load(Relaxed) == 0 {
            break;
        }
        thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(
        rig.shared.admission.connections.load(Relaxed),
        0,
        "connections of departed clients are still counted"
    );
    let is_unused = |memory: &Arc<postbarrow_downstream::memory_budget::MemoryBudget>| {
        memory.reserve(postbarrow_constants::traffic::BODIES_BYTES as u64).is_some()
    };
    assert!(
        is_unused(&rig.shared.memory.response_bodies)
            && is_unused(&rig.shared.memory.request_bodies),
        "memory of request and response bodies was not released"
    );
}

#[test]
fn body_is_awaited_no_longer_than_its_clients_timeout() {
    let one = ScriptedTarget::start("s-1", "s", done_script());
    let rig = start_node(true, &[("s-1", &one)]);
    let incomplete_post =
        b"POST /post/1 HTTP/1.1\r\nHost: h\r\nWait-Ms: 1\r\nContent-Length: 9\r\n\r\nabc";
    let mut stream = client(&rig, incomplete_post);
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).expect("the node responds without the rest of the body");
    assert!(reply.starts_with("HTTP/1.1 408"), "{reply}");
    assert_all_released(&rig);
    assert_eq!(one.runs(), 0);
}
