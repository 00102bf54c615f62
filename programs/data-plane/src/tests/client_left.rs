//! Clients that leave before their answer: nothing more is begun for them, repeatable work for them
//! ends, and what a one-time request was promised stays.

use super::named::Words;
use super::rig::*;
use postbarrow_messages::Request;
use postbarrow_state::{Settlement, Target};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Far beyond everything here that ends by an event; reached only by a wait that hangs.
const HANG: Duration = Duration::from_secs(12);
/// Route's time in these tests: a wait that ends by it is one that hangs.
const LONG_MS: u64 = 60_000;

/// How a client ends its connection.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Close,
    Reset,
}

/// A response that no socket holds whole.
const LARGE: usize = 24 << 20;
const BOTH: [Leave; 2] = [Leave::Close, Leave::Reset];

fn leave(stream: TcpStream, how: Leave) {
    if matches!(how, Leave::Reset) {
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

fn client(rig: &Rig, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(rig.http).unwrap();
    stream.write_all(bytes).unwrap();
    stream
}

const LOOK: &[u8] = b"GET /look/1 HTTP/1.1\r\nHost: h\r\nAsk: p\r\n\r\n";
const POST: &[u8] =
    b"POST /post/1 HTTP/1.1\r\nHost: h\r\nAsk: p\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx";

fn hears(from: &Receiver<()>, what: &str) {
    from.recv_timeout(HANG).unwrap_or_else(|_| panic!("{what}"));
}

/// Waits until the node has nothing at work any more.
fn rests(rig: &Rig) {
    let count = |of: &AtomicUsize| of.load(Relaxed);
    let shared = &rig.shared;
    let at_work = || count(&shared.asks) + count(&shared.calls) + count(&shared.watches);
    let tries = HANG.as_millis();
    for _ in 0..tries {
        if at_work() == 0 {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("{} requests are at work for clients that left", at_work());
}

/// All that a request took is given back.
fn holds_nothing(rig: &Rig) {
    rests(rig);
    let own = std::net::IpAddr::from([127, 0, 0, 1]);
    assert_eq!(rig.shared.clients.of(own).load(Relaxed), 0, "places of the client");
    let table = rig.shared.table.load_full();
    for load in table.loads().values() {
        assert_eq!(load.at_work(), 0, "load of its target");
    }
    let postbarrow_routing::Found::Route(entry) = table.find("GET", "/look/1", &[]) else {
        panic!("no route")
    };
    assert_eq!(entry.made.limits.at_work(), 0, "concurrency of its route");
}

fn target_of(found: &ScriptedTarget, instance: &str) -> Target {
    Target { slots: 2, ..target(instance, "s", found.address) }
}

/// A node before these targets, of which the first is chosen first; with targets that prove
/// themselves, or with such that are named.
fn node(named: bool, targets: &[(&str, &ScriptedTarget)]) -> Rig {
    let rig = match named {
        true => Rig::speaking(Arc::new(Words), Vec::new(), yes),
        false => Rig::new(Vec::new(), yes),
    };
    publish(&rig, targets);
    rig
}

fn publish(rig: &Rig, targets: &[(&str, &ScriptedTarget)]) {
    let cold = |at: usize| at > 0;
    let targets = targets
        .iter()
        .enumerate()
        .map(|(at, (instance, found))| Target { cold: cold(at), ..target_of(found, instance) });
    rig.publish_with(targets.collect(), LONG_MS);
}

fn answers() -> Vec<Script> {
    vec![Script::Reply(super::named::response("p", "", "done"))]
}

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
        while one.runs() == 0 {
            thread::yield_now();
        }
        leave(stream, how);
        breaks.comes();
        holds_nothing(&rig);
        assert_eq!((one.runs(), other.runs()), (1, 0), "{how:?}");
    }
}

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

/// A controller that keeps silent on tickets until the test lets it speak.
fn silent_controller(
    targets: &[(&str, &ScriptedTarget)],
) -> (Rig, Receiver<()>, impl Fn() + use<>) {
    let ((asked, hears_asked), (speak, may_speak)) = (channel(), channel::<()>());
    let may_speak = Mutex::new(may_speak);
    let rig = Rig::new(Vec::new(), move |request| {
        if matches!(request, Request::Ticket(_) | Request::Call { .. }) {
            let _ = asked.send(());
            let _ = may_speak.lock().unwrap().recv();
        }
        yes(request)
    });
    publish(&rig, targets);
    (rig, hears_asked, move || speak.send(()).unwrap())
}

#[test]
fn a_ticket_granted_after_its_client_left_is_settled_unsent_and_never_used() {
    for how in BOTH {
        let one = ScriptedTarget::start("s-1", "s", vec![Script::Whole("x")]);
        let (rig, asked, speak) = silent_controller(&[("s-1", &one)]);
        let stream = client(&rig, POST);
        hears(&asked, "no ticket was asked for");
        leave(stream, how);
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
        let one = ScriptedTarget::start("s-1", "s", vec![Script::Whole("x")]);
        let (rig, asked, speak) = silent_controller(&[("s-1", &one)]);
        let stream = client(&rig, POST);
        hears(&asked, "no ticket was asked for");
        leave(stream, how);
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
        while one.runs() == 0 {
            thread::yield_now();
        }
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

#[test]
fn a_one_time_request_that_was_turned_away_goes_nowhere_else_without_its_client() {
    let (ends, cue) = moment();
    let away = super::named::response("p", "Not-Run: full\r\n", "");
    let one = ScriptedTarget::start("s-1", "s", vec![Script::Later(Vec::new(), cue, away)]);
    let other = ScriptedTarget::start("s-2", "s", answers());
    let rig = node(true, &[("s-1", &one), ("s-2", &other)]);
    let stream = client(&rig, POST);
    while one.runs() == 0 {
        thread::yield_now();
    }
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
    let free = |memory: &Arc<postbarrow_downstream::memory::Memory>| {
        memory.reserve(postbarrow_constants::traffic::BODIES_BYTES as u64).is_some()
    };
    assert!(free(&rig.shared.responses) && free(&rig.shared.memory), "memory of both ways");
}
