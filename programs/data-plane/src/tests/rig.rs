//! The node under test, with a controller that the test scripts.

pub use super::scripted::*;
use crate::ListenerRole;
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

/// Body limit of the routes under `/large/`, in bytes: more than the sockets on the way can buffer.
pub const LARGE_BYTES: u64 = 64 << 20;
/// Deadline of the routes, in milliseconds, unless a test sets another.
const DEADLINE_MS: u64 = 4_000;

/// A node whose routing table and lease the test sets, and whose controller requests the test
/// answers.
pub struct Rig {
    pub shared: Arc<Shared>,
    pub http: SocketAddr,
    /// The requests that the scripted controller has answered, in order.
    pub requested: Arc<Mutex<Vec<Request>>>,
    /// The number of requests to the controller that the node withdrew.
    withdrawn: Arc<AtomicUsize>,
}

/// Returns a target in zone `a`, without labels or known slots, that accepts requests.
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

/// Returns a route to service `s` with the default deadline and without limits.
fn route(path: &str, method: &str, kind: RouteKind) -> Route {
    Route {
        path: path.into(),
        methods: vec![method.into()],
        kind,
        service: "s".into(),
        when: None,
        body_bytes: if path.starts_with("/large") { LARGE_BYTES } else { 1_000 },
        rate_per_s: None,
        concurrency: None,
        deadline_ms: DEADLINE_MS,
        host: None,
        weighted_services: Vec::new(),
        max_attempts: None,
        latency_target_ms: None,
        priority: 0,
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
        accept::listen(listener, ListenerRole::Clients, rig.shared.clone()).unwrap();
        rig
    }

    /// Publishes these targets and the test routes, with the default deadline.
    pub fn publish(&self, targets: Vec<Target>) {
        self.publish_with(targets, DEADLINE_MS);
    }

    /// Publishes these targets and the test routes, with this deadline for the routes.
    pub fn publish_with(&self, targets: Vec<Target>, deadline_ms: u64) {
        let routes = [
            route("/look/*", "GET", RouteKind::Lookup),
            route("/post/*", "POST", RouteKind::OneTime),
            route("/large/*", "PUT", RouteKind::Lookup),
            route("/large/*", "POST", RouteKind::OneTime),
        ];
        self.publish_routes(targets, routes.map(|route| Route { deadline_ms, ..route }).to_vec());
    }

    /// Publishes these targets, and routes whose wildcards cover every path and method.
    pub fn publish_wildcard_routes(&self, targets: Vec<Target>) {
        let routes =
            vec![route("/*", "GET", RouteKind::Lookup), route("/*", "*", RouteKind::OneTime)];
        self.publish_routes(targets, routes);
    }

    fn publish_routes(&self, targets: Vec<Target>, routes: Vec<Route>) {
        let mut state = State::default();
        let plan = PlanHead { version: "v1".into(), base: None, offset: 1 };
        state.plan = Some(Arc::new(plan));
        for service in ["s", "t"] {
            let labels = Labels::from([("service".into(), service.into())]);
            let service = Service { name: service.into(), labels };
            state.services.insert(service.name.clone(), Arc::new(service));
        }
        state.routes.extend(routes.into_iter().map(Arc::new));
        for target in targets {
            state.targets.insert(target.instance.clone(), Arc::new(target));
        }
        self.shared.publish(Arc::new(state), 1);
    }

    /// Sends one request as raw bytes, waits for its response, and returns all bytes received until
    /// the node closes the connection.
    pub fn raw(&self, bytes: &[u8]) -> String {
        self.send_until_responses(bytes, 1)
    }

    /// Sends requests as raw bytes, waits until `responses` responses are complete, closes the
    /// sending side, and returns all bytes received. A client that closes earlier would count as
    /// departed.
    pub fn send_until_responses(&self, bytes: &[u8], responses: usize) -> String {
        send_to(self.http, bytes, responses)
    }

    /// Sends bytes, closes the sending side at once, and returns what the node still sends.
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

    /// Returns the number of requests to the controller that were withdrawn so far. The `Show`
    /// request is queued behind them and so answered after them.
    pub fn withdrawn(&self) -> usize {
        self.shared.control_loop.request(Request::Show, 60_000, &ClientWatch::without_client());
        self.withdrawn.load(Relaxed)
    }

    /// Returns all settlements so far. The `Show` request is queued behind them and so answered
    /// after them.
    pub fn settlements(&self) -> Vec<Settlement> {
        self.shared.control_loop.request(Request::Show, 60_000, &ClientWatch::without_client());
        let requested = self.requested.lock().unwrap();
        let settlements = requested.iter().filter_map(|request| match request {
            Request::Settle { settlement, .. } => Some(*settlement),
            _ => None,
        });
        settlements.collect()
    }
}

/// Sends requests as [`Rig::send_until_responses`] does, to one of the node's addresses.
pub fn send_to(address: SocketAddr, bytes: &[u8], responses: usize) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
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

/// Returns the number of complete responses in the bytes; a response without Content-Length has no
/// body.
fn complete_responses(mut received: &[u8]) -> usize {
    let mut count = 0;
    while let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
        let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let Some(rest) = received.get(end + 4 + length..) else { return count };
        received = rest;
        count += 1;
    }
    count
}

/// Responds as a controller that grants every ticket and accepts every settlement.
pub fn grant_all(request: &Request) -> Response {
    match request {
        Request::Ticket(_) => Response::Granted,
        Request::Settle { .. } => Response::Settled,
        _ => Response::Refused("unexpected request in this test".into()),
    }
}
