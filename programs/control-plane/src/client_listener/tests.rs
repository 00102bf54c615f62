//! Tests of `client_listener`: departing clients, with a controller that the test plays.

use super::*;
use crate::command::Command;
use crate::operator_handler::OperatorHandler;
use postbarrow_messages::{Request, Response};
use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::mpsc::{Receiver, channel};

/// Far longer than any event here takes; reached only if a wait hangs.
const HANG: Duration = Duration::from_secs(4);
const PLAN: &str = "{\"version\":\"v1\",\"base\":null,\"services\":{},\"routes\":[]}";

struct Rig {
    address: SocketAddr,
    requests: RequestSender,
    commands: Receiver<Command>,
}

fn start_listener() -> Rig {
    let (sender, commands) = channel();
    let requests = RequestSender::new(sender);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = listen_for_clients(any, requests.clone(), Arc::new(OperatorHandler)).unwrap();
    Rig { address, requests, commands }
}

impl Rig {
    fn send(&self, bytes: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.write_all(bytes.as_bytes()).unwrap();
        stream
    }

    fn next(&self) -> Command {
        self.commands.recv_timeout(HANG).expect("the controller gets a request")
    }

    /// The next request to the controller: its key, and where its response goes.
    fn next_request(&self) -> (u64, Request, std::sync::mpsc::SyncSender<Response>) {
        match self.next() {
            Command::Request { key, request, reply, .. } => (key, request, reply),
            _ => panic!("another command"),
        }
    }

    fn assert_no_pending_requests(&self) {
        for _ in 0..HANG.as_millis() {
            if self.requests.pending_requests().load(SeqCst) == 0 {
                return;
            }
            thread::sleep(Duration::from_millis(1));
        }
        panic!("a request of a departed client is pending");
    }
}

fn submission(query: &str) -> String {
    let length = PLAN.len();
    format!("POST /plans{query} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{PLAN}")
}

#[test]
fn a_waiting_client_gets_its_response_and_may_reuse_the_connection() {
    let rig = start_listener();
    let mut stream = rig.send("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
    for _ in 0..2 {
        let (_, _, reply) = rig.next_request();
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
    let rig = start_listener();
    let stream = rig.send("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
    let (sent, _, _reply) = rig.next_request();
    drop(stream);
    let Command::Withdraw { key } = rig.next() else { panic!("the request is not withdrawn") };
    assert_eq!(key, sent);
    rig.assert_no_pending_requests();
}

#[test]
fn a_plan_is_not_submitted_if_its_operator_departs_during_the_rehearsal() {
    for query in ["", "?dry-run", "?most-lost=0"] {
        let rig = start_listener();
        let stream = rig.send(&submission(query));
        let (_, request, reply) = rig.next_request();
        assert!(matches!(request, Request::RequestSamples), "{request:?}");
        stream.shutdown(Shutdown::Both).unwrap();
        drop(stream);
        let no_samples = Response::RequestSamples { samples: Vec::new(), seen: 0, seconds: 1 };
        let _ = reply.send(no_samples);
        rig.assert_no_pending_requests();
        let is_submitted = rig
            .commands
            .try_iter()
            .any(|command| matches!(command, Command::Request { request: Request::Submit(_), .. }));
        assert!(!is_submitted, "{query}: the plan of a departed operator was submitted");
    }
}

#[test]
fn a_client_that_departs_before_its_body_ends_leaves_nothing_pending() {
    let rig = start_listener();
    let stream = rig.send("POST /plans HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n{");
    drop(stream);
    rig.assert_no_pending_requests();
    assert!(rig.commands.try_recv().is_err(), "no request is sent for half a plan");
}

#[test]
fn a_plan_over_the_size_limit_is_rejected_unread() {
    let rig = start_listener();
    let large = PLAN_TEXT_BYTES + 1;
    let mut stream =
        rig.send(&format!("POST /plans HTTP/1.1\r\nHost: x\r\nContent-Length: {large}\r\n\r\n"));
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
}
