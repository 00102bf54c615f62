//! Clients that leave before their answer: nothing more is begun for them, repeatable work for them
//! ends, and what a one-time request was promised stays.

mod promised;
mod repeatable;

use super::named::{Words, response};
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

/// Waits until a target has a request.
fn gets(target: &ScriptedTarget) {
    while target.runs() == 0 {
        thread::yield_now();
    }
}

/// Waits until the node has nothing at work any more.
fn rests(rig: &Rig) {
    let count = |of: &AtomicUsize| of.load(Relaxed);
    let shared = &rig.shared;
    let at_work =
        || count(&shared.requests_at_work) + count(&shared.calls) + count(&shared.watches);
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
        assert_eq!(load.in_flight(), 0, "load of its target");
    }
    let postbarrow_routing::RouteMatch::Route(entry) = table.find("GET", "/look/1", &[]) else {
        panic!("no route")
    };
    assert_eq!(entry.compiled.limits.in_flight(), 0, "concurrency of its route");
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
    let targets = targets.iter().enumerate().map(|(at, (instance, found))| Target {
        warming_up: cold(at),
        ..target_of(found, instance)
    });
    rig.publish_with(targets.collect(), LONG_MS);
}

fn answers() -> Vec<Script> {
    vec![Script::Reply(response("p", "", "done"))]
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
