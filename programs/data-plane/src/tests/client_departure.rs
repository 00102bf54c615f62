//! Clients that depart before their response: no further attempt starts, repeatable requests are
//! cancelled, and one-time requests keep their guarantees.

mod one_time;
mod repeatable;

use super::named_targets::{RequestIdDialect, response};
use super::rig::*;
use postbarrow_messages::Request;
use postbarrow_state::{Settlement, Target};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Timeout of the waits in these tests, longer than any of them takes; only a wait that hangs
/// reaches it.
const HANG_TIMEOUT: Duration = Duration::from_secs(12);
/// Deadline of the routes in these tests, in milliseconds: longer than `HANG_TIMEOUT`, so that no
/// wait ends by the deadline.
const LONG_DEADLINE_MS: u64 = 60_000;

/// The way in which a client ends its connection.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Close,
    Reset,
}

/// Size of a response that no socket buffers completely, in bytes.
const LARGE_RESPONSE_BYTES: usize = 24 << 20;
const DEPARTURES: [Departure; 2] = [Departure::Close, Departure::Reset];

/// Ends a client's connection in this way.
fn depart(stream: TcpStream, departure: Departure) {
    if matches!(departure, Departure::Reset) {
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// Connects a client and sends these bytes.
fn client(rig: &Rig, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(rig.http).unwrap();
    stream.write_all(bytes).unwrap();
    stream
}

const LOOKUP: &[u8] = b"GET /look/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: p\r\n\r\n";
const ONE_TIME_POST: &[u8] =
    b"POST /post/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: p\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx";

fn await_signal(from: &Receiver<()>, message: &str) {
    from.recv_timeout(HANG_TIMEOUT).unwrap_or_else(|_| panic!("{message}"));
}

/// Waits until a target has received a request.
fn await_request(target: &ScriptedTarget) {
    while target.runs() == 0 {
        thread::yield_now();
    }
}

/// Waits until the node has no request, call or watch in flight.
fn await_idle(rig: &Rig) {
    let count = |counter: &AtomicUsize| counter.load(Relaxed);
    let shared = &rig.shared;
    let in_flight = || {
        count(&shared.admission.requests)
            + count(&shared.admission.calls)
            + count(&shared.admission.watches)
    };
    let attempts = HANG_TIMEOUT.as_millis();
    for _ in 0..attempts {
        if in_flight() == 0 {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("{} requests are still in flight for departed clients", in_flight());
}

/// Waits until the node is idle, and asserts that all counters of requests are 0 again.
fn assert_all_released(rig: &Rig) {
    await_idle(rig);
    let client_address = std::net::IpAddr::from([127, 0, 0, 1]);
    assert_eq!(
        rig.shared.admission.requests_by_client.for_client(client_address).load(Relaxed),
        0,
        "requests counted for the client"
    );
    let table = rig.shared.routing.load_full();
    for load in table.loads().values() {
        assert_eq!(load.in_flight(), 0, "requests counted in the load of a target");
    }
    let postbarrow_routing::RouteMatch::Route(entry) = table.find("GET", "/look/1", &[]) else {
        panic!("no route")
    };
    assert_eq!(entry.compiled.limits.in_flight(), 0, "requests counted for the route");
}

fn target_of(scripted: &ScriptedTarget, instance: &str) -> Target {
    Target { slots: 2, ..target(instance, "s", scripted.address) }
}

/// Returns a node with these targets, of which the first is selected first. If `named`, each
/// request names its target; otherwise the targets identify themselves.
fn start_node(named: bool, targets: &[(&str, &ScriptedTarget)]) -> Rig {
    let rig = match named {
        true => Rig::with_dialect(Arc::new(RequestIdDialect), Vec::new(), grant_all),
        false => Rig::new(Vec::new(), grant_all),
    };
    publish(&rig, targets);
    rig
}

fn publish(rig: &Rig, targets: &[(&str, &ScriptedTarget)]) {
    let warming_up = |index: usize| index > 0;
    let targets = targets.iter().enumerate().map(|(index, (instance, scripted))| Target {
        warming_up: warming_up(index),
        ..target_of(scripted, instance)
    });
    rig.publish_with(targets.collect(), LONG_DEADLINE_MS);
}

fn done_script() -> Vec<Script> {
    vec![Script::Reply(response("p", "", "done"))]
}

/// Returns a node whose controller answers ticket and call requests only when the test allows it, a
/// receiver of one message for each such request, and a function that allows one answer.
fn unresponsive_controller(
    targets: &[(&str, &ScriptedTarget)],
) -> (Rig, Receiver<()>, impl Fn() + use<>) {
    let ((requested, on_request), (respond, may_respond)) = (channel(), channel::<()>());
    let may_respond = Mutex::new(may_respond);
    let rig = Rig::new(Vec::new(), move |request| {
        if matches!(request, Request::Ticket(_) | Request::Call { .. }) {
            let _ = requested.send(());
            let _ = may_respond.lock().unwrap().recv();
        }
        grant_all(request)
    });
    publish(&rig, targets);
    (rig, on_request, move || respond.send(()).unwrap())
}
