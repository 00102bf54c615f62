//! Tests of `client_listener`: clients that depart. The test responds in place of the
//! controller.

use super::*;
use crate::command::Command;
use crate::operator_handler::OperatorHandler;
use postbarrow_controller::{ApplyError, ApplyFailure};
use postbarrow_messages::{Request, Response};
use postbarrow_state::Call;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::Mutex;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::mpsc::{Receiver, channel};

/// Time limit of each wait, far longer than any event here takes: reached only if a wait hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(4);
const PLAN: &str = "{\"version\":\"v1\",\"base\":null,\"services\":{},\"routes\":[]}";

struct Fixture {
    address: SocketAddr,
    request_sender: RequestSender,
    commands: Receiver<Command>,
}

fn start_listener() -> Fixture {
    start_listener_with(Arc::new(OperatorHandler))
}

fn start_listener_with(handler: Arc<dyn ClientHandler>) -> Fixture {
    let (sender, commands) = channel();
    let request_sender = RequestSender::new(sender);
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = listen_for_clients(any_port, request_sender.clone(), handler).unwrap();
    Fixture { address, request_sender, commands }
}

/// Sends a change to the controller for each request, once the test lets it: the process is
/// suspended after it has read the request.
struct SuspendedHandler {
    may_continue: Mutex<Receiver<()>>,
}

impl ClientHandler for SuspendedHandler {
    fn answer(&self, request: &ClientRequest<'_>) -> TargetResponse {
        self.may_continue.lock().unwrap().recv().unwrap();
        let call = Call::Next { name: "n".into(), by: 1 };
        let change = Request::Call { id: None, call };
        let response = request.request_sender.send(change, 60_000, request.client);
        assert_eq!(response, Response::Unavailable);
        self.reject(503, "")
    }

    fn reject(&self, status: u16, _: &str) -> TargetResponse {
        TargetResponse { status, headers: Vec::new(), body: Vec::new() }
    }
}

impl Fixture {
    fn send(&self, bytes: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.write_all(bytes.as_bytes()).unwrap();
        stream
    }

    fn next_command(&self) -> Command {
        self.commands.recv_timeout(HANG_TIMEOUT).expect("the control loop gets a command")
    }

    /// Returns the next request to the controller, with its key and the channel for its response.
    fn next_request(&self) -> (u64, Request, std::sync::mpsc::SyncSender<Response>) {
        match self.next_command() {
            Command::Request { key, request, reply, .. } => (key, request, reply),
            _ => panic!("the command is not a request"),
        }
    }

    fn assert_no_pending_requests(&self) {
        for _ in 0..HANG_TIMEOUT.as_millis() {
            if self.request_sender.pending_requests().load(SeqCst) == 0 {
                return;
            }
            thread::sleep(Duration::from_millis(1));
        }
        panic!("a request of a departed client is still pending");
    }
}

fn submission(query: &str) -> String {
    let length = PLAN.len();
    format!("POST /plans{query} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{PLAN}")
}

#[test]
fn a_connected_client_gets_its_response_and_can_reuse_the_connection() {
    let fixture = start_listener();
    let mut stream = fixture.send("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
    for _ in 0..2 {
        let (_, _, reply) = fixture.next_request();
        reply.send(Response::Operator { status: 200, body: b"{}".to_vec() }).unwrap();
        let mut response = Vec::new();
        while !response.ends_with(b"{}") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            response.extend(byte);
        }
        assert!(response.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&response));
        stream.write_all(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    }
}

#[test]
fn a_request_of_a_departed_client_is_withdrawn_and_not_pending() {
    let fixture = start_listener();
    let stream = fixture.send("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
    let (sent, _, _reply) = fixture.next_request();
    drop(stream);
    let Command::Withdraw { key } = fixture.next_command() else {
        panic!("the request is not withdrawn")
    };
    assert_eq!(key, sent);
    fixture.assert_no_pending_requests();
}

/// Guards against a suspended process that executes the calls of departed clients at its waking.
#[test]
fn a_change_is_not_enqueued_if_its_client_departs_before() {
    let (waker, may_continue) = channel();
    let fixture =
        start_listener_with(Arc::new(SuspendedHandler { may_continue: Mutex::new(may_continue) }));
    let stream = fixture.send("POST /change HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    while fixture.request_sender.pending_requests().load(SeqCst) == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    drop(stream);
    waker.send(()).unwrap();
    fixture.assert_no_pending_requests();
    assert!(fixture.commands.try_recv().is_err(), "the change was queued");
}

#[test]
fn a_plan_is_not_submitted_if_its_operator_departs_during_the_rehearsal() {
    for query in ["", "?dry-run", "?most-lost=0"] {
        let fixture = start_listener();
        let stream = fixture.send(&submission(query));
        let (_, request, reply) = fixture.next_request();
        assert!(matches!(request, Request::RequestSamples), "{request:?}");
        stream.shutdown(Shutdown::Both).unwrap();
        drop(stream);
        let no_samples = Response::RequestSamples { samples: Vec::new(), seen: 0, seconds: 1 };
        let _ = reply.send(no_samples);
        fixture.assert_no_pending_requests();
        let is_submitted = fixture
            .commands
            .try_iter()
            .any(|command| matches!(command, Command::Request { request: Request::Submit(_), .. }));
        assert!(!is_submitted, "{query}: the plan of a departed operator was submitted");
    }
}

#[test]
fn a_client_that_departs_before_its_body_ends_leaves_no_pending_request() {
    let fixture = start_listener();
    let stream = fixture.send("POST /plans HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n{");
    drop(stream);
    fixture.assert_no_pending_requests();
    assert!(fixture.commands.try_recv().is_err(), "a request was sent for an incomplete plan");
}

#[test]
fn a_plan_over_the_size_limit_is_rejected_before_its_body_is_read() {
    let fixture = start_listener();
    let large = PLAN_TEXT_BYTES + 1;
    let mut stream = fixture
        .send(&format!("POST /plans HTTP/1.1\r\nHost: x\r\nContent-Length: {large}\r\n\r\n"));
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
}

#[test]
fn health_and_answers_state_that_the_member_has_stepped_aside() {
    let fixture = start_listener();
    let get = |path: &str| {
        let mut stream = fixture
            .send(&format!("GET {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n"));
        stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        if path == "/plan" {
            let (_, _, reply) = fixture.next_request();
            reply.send(Response::Unavailable).unwrap();
        }
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    };
    assert!(get("/health").starts_with("HTTP/1.1 200 "));
    assert!(get("/plan").contains("no controller is in reach"));
    let cause = ApplyError::Snapshot("unknown".into());
    fixture.request_sender.health().set(Some(&ApplyFailure { offset: 77, cause }));
    for path in ["/health", "/plan"] {
        let text = get(path);
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
        assert!(text.contains("has stepped aside") && text.contains("offset 77"), "{text}");
    }
    fixture.request_sender.health().set(None);
    assert!(get("/health").starts_with("HTTP/1.1 200 "));
}
