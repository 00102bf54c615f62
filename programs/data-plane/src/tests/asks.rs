use super::rig::*;
use postbarrow_constants::traffic::HEAD_BYTES;
use postbarrow_messages::{Request, Response};
use postbarrow_state::Settlement;
use std::sync::atomic::Ordering::Relaxed;

fn one(script: Vec<Script>) -> (ScriptedTarget, Rig) {
    let found = ScriptedTarget::start("s-1", "s", script);
    let rig = Rig::new(vec![target("s-1", "s", found.address)], yes);
    (found, rig)
}

#[test]
fn path_query_repeated_headers_and_body_arrive_unchanged_and_nothing_is_added() {
    let (found, rig) = one(vec![Script::Whole("done")]);
    let told = rig.raw(
        b"POST /post/a%2Fb//c;d?x=%20&x&y=%C3%BC HTTP/1.1\r\nHost: shop\r\nX-A: 1\r\nx-a: 2\r\nConnection: X-Hop\r\nX-Hop: 3\r\nTE: trailers\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n",
    );
    assert!(told.starts_with("HTTP/1.1 200"), "{told}");
    assert_eq!(told.to_ascii_lowercase().matches("x-t: ").count(), 2, "{told}");
    let seen = found.seen.lock().unwrap().clone();
    let mut lines: Vec<String> = seen.heads[0].lines().map(str::to_ascii_lowercase).collect();
    lines.retain(|line| !line.is_empty());
    assert!(seen.heads[0].starts_with("POST /post/a%2Fb//c;d?x=%20&x&y=%C3%BC HTTP/1.1\r\n"));
    lines[1..].sort();
    assert_eq!(lines[1..], ["content-length: 5", "host: shop", "x-a: 1", "x-a: 2"]);
    assert_eq!(seen.bodies[0], b"abcde");
}

#[test]
fn what_is_refused_is_refused_before_any_target_sees_it() {
    let (found, rig) = one(vec![Script::Whole("x")]);
    let status = |told: &str| told.split(' ').nth(1).unwrap_or("none").to_string();
    assert_eq!(status(&rig.get("/nowhere")), "404");
    let other = rig.post("", "").replace("POST", "GET");
    assert!(other.starts_with("HTTP/1.1 200"));
    let wrong = rig.raw(b"DELETE /post/1 HTTP/1.1\r\nHost: h\r\n\r\n");
    assert!(wrong.starts_with("HTTP/1.1 405") && wrong.contains("Allow: POST"), "{wrong}");
    let large = rig.post("", &"a".repeat(1_001));
    assert_eq!(status(&large), "413");
    assert!(large.contains("Postbarrow-Outcome: not-run"), "{large}");
    let chunks = rig
        .raw(b"POST /post/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n");
    assert_eq!(status(&chunks), "413");
    let both = b"POST /post/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let both = rig.raw(both);
    assert!(status(&both) == "400" && both.contains("Connection: close"), "{both}");
    let two = rig.raw(
        b"POST /post/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    );
    assert_eq!(status(&two), "400");
    let short =
        rig.send_and_leave(b"POST /post/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    assert_eq!(short, "", "a short body gets no response, for its client is gone");
    let long = format!("GET /look/1 HTTP/1.1\r\nHost: h\r\nX: {}", "a".repeat(HEAD_BYTES + 1));
    assert_eq!(status(&rig.raw(long.as_bytes())), "431");
    assert_eq!(status(&rig.post("Idempotency-Key: a b\r\n", "x")), "400");
    assert_eq!(found.runs(), 1, "only the sound one arrived");
}

#[test]
fn requests_on_one_connection_get_their_own_responses_in_order() {
    let (_found, rig) = one(vec![Script::Whole("first"), Script::Whole("second")]);
    let told = rig.talk(
        b"GET /look/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /look/2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        2,
    );
    let (first, second) = (told.find("first"), told.find("second"));
    assert!(first.is_some() && first < second, "{told}");
    assert_eq!(told.matches("HTTP/1.1 200").count(), 2);
}

#[test]
fn a_node_without_hold_sheds_and_is_unready() {
    let (found, rig) = one(vec![Script::Whole("x")]);
    assert!(rig.get("/ready").starts_with("HTTP/1.1 200"));
    rig.shared.lease_until_ms.store(0, Relaxed);
    assert!(rig.get("/ready").starts_with("HTTP/1.1 503"));
    let shed = rig.post("", "a");
    assert!(shed.starts_with("HTTP/1.1 503") && shed.contains("Retry-After: "), "{shed}");
    assert!(shed.contains("Postbarrow-Outcome: not-run"));
    let keyed = rig.post("Idempotency-Key: k\r\n", "a");
    assert!(keyed.contains("Postbarrow-Outcome: unknown"), "the key may have run before: {keyed}");
    assert_eq!(found.runs(), 0);
}

#[test]
fn nothing_reaches_a_stranger_at_a_targets_address() {
    let stranger = ScriptedTarget::start("t-9", "t", vec![Script::Whole("x")]);
    let rig = Rig::new(vec![target("s-1", "s", stranger.address)], yes);
    let told = rig.post("", "a");
    assert!(told.starts_with("HTTP/1.1 503") && told.contains("not-run"), "{told}");
    assert!(rig.get("/look/1").starts_with("HTTP/1.1 50"));
    assert_eq!(stranger.runs(), 0);
    let asked = rig.asked.lock().unwrap();
    assert!(asked.is_empty(), "no ticket is asked for a target that is not proved");
}

#[test]
fn without_a_word_on_its_ticket_an_ask_is_unknown_and_never_passed() {
    let found = ScriptedTarget::start("s-1", "s", vec![Script::Whole("x")]);
    let rig = Rig::new(vec![target("s-1", "s", found.address)], |ask| match ask {
        Request::Ticket(_) => Response::TimedOut,
        other => yes(other),
    });
    let told = rig.post("", "a");
    assert!(told.starts_with("HTTP/1.1 504") && told.contains("unknown"), "{told}");
    assert_eq!(found.runs(), 0);
    assert_eq!(rig.settled(), [Settlement::Unsent]);
}

#[test]
fn a_target_that_leaves_while_its_ticket_is_asked_gets_nothing() {
    let found = ScriptedTarget::start("s-1", "s", vec![Script::Whole("x")]);
    let (leaves, leaving) = std::sync::mpsc::channel::<()>();
    let (left, gone) = std::sync::mpsc::channel::<()>();
    let rig = Rig::new(vec![target("s-1", "s", found.address)], move |ask| {
        if matches!(ask, Request::Ticket(_)) {
            leaves.send(()).unwrap();
            gone.recv().unwrap();
        }
        yes(ask)
    });
    let told = std::thread::scope(|scope| {
        let asking = scope.spawn(|| rig.post("Idempotency-Key: k\r\n", "a"));
        leaving.recv().unwrap();
        let mut draining = target("s-1", "s", found.address);
        draining.draining = true;
        rig.publish(vec![draining]);
        left.send(()).unwrap();
        asking.join().unwrap()
    });
    assert_eq!(found.runs(), 0);
    assert_eq!(rig.settled(), [Settlement::Unsent]);
    assert!(told.contains("not-run"), "granted and settled unsent, so it is proved: {told}");
}

#[test]
fn half_open_and_idle_clients_do_not_keep_others_out() {
    let (found, rig) = one(vec![Script::Whole("x")]);
    let mut held = Vec::new();
    for at in 0..300 {
        let mut stream = std::net::TcpStream::connect(rig.http).unwrap();
        if at % 2 == 0 {
            std::io::Write::write_all(&mut stream, b"POST /post/1 HTTP/1.1\r\nHo").unwrap();
        }
        held.push(stream);
    }
    assert!(rig.get("/look/1").starts_with("HTTP/1.1 200"));
    assert!(rig.post("", "a").starts_with("HTTP/1.1 200"));
    assert_eq!((found.runs(), held.len()), (2, 300));
}

#[test]
fn a_full_node_sheds_at_once_and_tells_when_to_come_back() {
    let (found, rig) = one(vec![Script::Whole("x")]);
    rig.shared.requests_at_work.store(postbarrow_constants::traffic::REQUESTS_IN_FLIGHT, Relaxed);
    let shed = rig.post("", "a");
    assert!(shed.starts_with("HTTP/1.1 503") && shed.contains("Retry-After: 1"), "{shed}");
    assert!(shed.contains("Postbarrow-Outcome: not-run"), "{shed}");
    rig.shared.requests_at_work.store(0, Relaxed);
    while rig.shared.downstreams.load(Relaxed) > 0 {
        std::thread::yield_now();
    }
    rig.shared.downstreams.store(postbarrow_constants::traffic::DOWNSTREAMS, Relaxed);
    let mut stream = std::net::TcpStream::connect(rig.http).unwrap();
    let mut told = String::new();
    let _ = std::io::Read::read_to_string(&mut stream, &mut told);
    assert!(told.starts_with("HTTP/1.1 503") && told.contains("Retry-After: 1"), "{told}");
    assert_eq!(found.runs(), 0);
}

#[test]
fn a_stopping_node_serves_a_kept_connection_once_more_and_says_it_closes() {
    let (found, rig) = one(vec![Script::Whole("x")]);
    let mut stream = std::net::TcpStream::connect(rig.http).unwrap();
    rig.shared.stopping.store(true, Relaxed);
    assert!(rig.get("/ready").starts_with("HTTP/1.1 503"), "unready first");
    std::io::Write::write_all(&mut stream, b"GET /look/1 HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
    let mut told = String::new();
    std::io::Read::read_to_string(&mut stream, &mut told).unwrap();
    assert!(told.starts_with("HTTP/1.1 200") && told.contains("Connection: close"), "{told}");
    assert_eq!(found.runs(), 1);
}
