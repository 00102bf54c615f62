pub use super::scripted::*;
use crate::command::Command;
use crate::phases::accept;
use crate::shared::Shared;
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_messages::{Request, Response};
use postbarrow_startup::Bounds;
use postbarrow_state::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;

/// Body limit of the routes under `/large/`: more than sockets buffer in transfer.
pub const LARGE_BYTES: u64 = 64 << 20;
/// The routes' deadline, unless a test sets another.
const DEADLINE_MS: u64 = 4_000;

/// One node whose routing table and lease the test sets, and whose controller the test plays.
pub struct Rig {
    pub shared: Arc<Shared>,
    pub http: SocketAddr,
    pub requested: Arc<Mutex<Vec<Request>>>,
    withdrawn: Arc<AtomicUsize>,
}

pub fn target(instance: &str, service: &str, address: SocketAddr) -> Target {
    Target {
        instance: instance.into(),
        service: service.into(),
        address,
        zone: "a".into(),
        labels: Labels::new(),
        draining: false,
        down: false,
        slots: 0,
        warming_up: false,
    }
}

impl Rig {
    pub fn new(
        targets: Vec<Target>,
        answer: impl Fn(&Request) -> Response + Send + 'static,
    ) -> Rig {
        Rig::with_dialect(Arc::new(crate::NativeDialect), targets, answer)
    }

    pub fn with_dialect(
        dialect: Arc<dyn crate::Dialect>,
        targets: Vec<Target>,
        answer: impl Fn(&Request) -> Response + Send + 'static,
    ) -> Rig {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let http = listener.local_addr().unwrap();
        let own = Node { incarnation: 7, name: "n".into(), address: http, http, zone: "a".into() };
        let (commands, queue) = channel();
        let shared = Arc::new(Shared::new(own, dialect, &Bounds::default(), commands));
        let requested = Arc::new(Mutex::new(Vec::new()));
        let received = requested.clone();
        let withdrawn = Arc::new(AtomicUsize::new(0));
        let count = withdrawn.clone();
        thread::spawn(move || {
            for command in queue {
                match command {
                    Command::Request { request, reply, .. } => {
                        let response = answer(&request);
                        received.lock().unwrap().push(request);
                        if let Some(reply) = reply {
                            let _ = reply.send(response);
                        }
                    }
                    Command::Withdraw { .. } => drop(count.fetch_add(1, Relaxed)),
                    _ => {}
                }
            }
        });
        let rig = Rig { shared, http, requested, withdrawn };
        rig.publish(targets);
        rig.shared.lease.set_until(u64::MAX);
        accept::listen(listener, rig.shared.clone()).unwrap();
        rig
    }

    pub fn publish(&self, targets: Vec<Target>) {
        self.publish_with(targets, DEADLINE_MS);
    }

    /// The same with this deadline for the routes.
    pub fn publish_with(&self, targets: Vec<Target>, deadline_ms: u64) {
        let mut state = State::default();
        let plan = PlanHead { version: "v1".into(), base: None, offset: 1 };
        state.plan = Some(Arc::new(plan));
        for service in ["s", "t"] {
            let labels = Labels::from([("service".into(), service.into())]);
            let service = Service { name: service.into(), labels };
            state.services.insert(service.name.clone(), Arc::new(service));
        }
        let route = |path: &str, method: &str, kind, service: &str| Route {
            path: path.into(),
            methods: vec![method.into()],
            kind,
            service: service.into(),
            when: None,
            body_bytes: if path.starts_with("/large") { LARGE_BYTES } else { 1_000 },
            rate_per_s: None,
            concurrency: None,
            deadline_ms,
            host: None,
            weighted_services: Vec::new(),
            max_attempts: None,
            latency_target_ms: None,
            priority: 0,
        };
        state.routes.push_back(Arc::new(route("/look/*", "GET", RouteKind::Lookup, "s")));
        state.routes.push_back(Arc::new(route("/post/*", "POST", RouteKind::OneTime, "s")));
        state.routes.push_back(Arc::new(route("/large/*", "PUT", RouteKind::Lookup, "s")));
        state.routes.push_back(Arc::new(route("/large/*", "POST", RouteKind::OneTime, "s")));
        for target in targets {
            state.targets.insert(target.instance.clone(), Arc::new(target));
        }
        self.shared.publish(Arc::new(state), 1);
    }

    /// Sends one request as raw bytes, waits for its response, and returns all bytes until the node
    /// closes.
    pub fn raw(&self, bytes: &[u8]) -> String {
        self.talk(bytes, 1)
    }

    /// Sends requests as raw bytes and closes its side once so many responses are complete: a client
    /// that closes earlier counts as departed.
    pub fn talk(&self, bytes: &[u8], responses: usize) -> String {
        let mut stream = TcpStream::connect(self.http).unwrap();
        stream.write_all(bytes).unwrap();
        let mut received = Vec::new();
        let mut chunk = [0; 4096];
        while complete_responses(&received) < responses {
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(length) => received.extend_from_slice(&chunk[..length]),
            }
        }
        let _ = stream.shutdown(Shutdown::Write);
        let _ = stream.read_to_end(&mut received);
        String::from_utf8_lossy(&received).into_owned()
    }

    /// Sends bytes and closes its side at once; returns what the node sent nonetheless.
    pub fn send_and_close(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.http).unwrap();
        stream.write_all(bytes).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received);
        String::from_utf8_lossy(&received).into_owned()
    }

    pub fn get(&self, path: &str) -> String {
        self.raw(format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes())
    }

    pub fn post(&self, headers: &str, body: &str) -> String {
        let length = body.len();
        self.raw(
            format!("POST /post/1 HTTP/1.1\r\nHost: h\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
                .as_bytes(),
        )
    }

    /// Controller requests withdrawn so far.
    pub fn withdrawn(&self) -> usize {
        self.shared.control_loop.request(Request::Show, 60_000, &ClientWatch::nobody());
        self.withdrawn.load(Relaxed)
    }

    /// All settlements so far: a request queued behind them is answered after them.
    pub fn settlements(&self) -> Vec<Settlement> {
        self.shared.control_loop.request(Request::Show, 60_000, &ClientWatch::nobody());
        let requested = self.requested.lock().unwrap();
        let settlements = requested.iter().filter_map(|request| match request {
            Request::Settle { settlement, .. } => Some(*settlement),
            _ => None,
        });
        settlements.collect()
    }
}

/// How many complete responses, each with a length, the bytes contain.
fn complete_responses(mut received: &[u8]) -> usize {
    let mut count = 0;
    while let Some(end) = received.windows(4).position(|four| four == b"\r\n\r\n") {
        let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let Some(rest) = received.get(end + 4 + length..) else { return count };
        received = rest;
        count += 1;
    }
    count
}

/// A controller that grants every ticket and accepts every settlement.
pub fn grant_all(request: &Request) -> Response {
    match request {
        Request::Ticket(_) => Response::Granted,
        Request::Settle { .. } => Response::Settled,
        _ => Response::Refused("not expected here".into()),
    }
}
