//! Tests of `door`: callers that leave, with a controller that the test plays.

use super::*;
use crate::core::Command;
use crate::operator::OperatorHandler;
use postbarrow_messages::{Request, Response};
use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::mpsc::{Receiver, channel};

/// Far beyond everything here that ends by an event; reached only by a wait that hangs.
const HANG: Duration = Duration::from_secs(4);
const PLAN: &str = "{\"version\":\"v1\",\"base\":null,\"services\":{},\"routes\":[]}";

struct Rig {
    address: SocketAddr,
    asker: RequestSender,
    commands: Receiver<Command>,
}

fn door() -> Rig {
    let (sender, commands) = channel();
    let asker = RequestSender::new(sender);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = listen_for_clients(any, asker.clone(), Arc::new(OperatorHandler)).unwrap();
    Rig { address, asker, commands }
}

impl Rig {
    fn send(&self, bytes: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.write_all(bytes.as_bytes()).unwrap();
        stream
    }

    fn next(&self) -> Command {
        self.commands.recv_timeout(HANG).expect("the controller is asked")
    }

    /// The key of a question that waits, and where its answer goes.
    fn asked(&self) -> (u64, Request, std::sync::mpsc::SyncSender<Response>) {
        match self.next() {
            Command::Request { key, request, reply, .. } => (key, request, reply),
            _ => panic!("another command"),
        }
    }

    fn rests(&self) {
        for _ in 0..HANG.as_millis() {
            if self.asker.pending_requests().load(SeqCst) == 0 {
                return;
            }
            thread::sleep(Duration::from_millis(1));
        }
        panic!("a request is at work for a caller that left");
    }
}

fn submission(query: &str) -> String {
    let length = PLAN.len();
    format!("POST /plans{query} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{PLAN}")
}

#[test]
fn a_caller_that_waits_gets_its_answer_and_may_ask_again() {
    let rig = door();
    let mut stream = rig.send("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
    for _ in 0..2 {
        let (_, _, reply) = rig.asked();
        reply.send(Response::Operator { status: 200, body: b"{}".to_vec() }).unwrap();
        let mut told = Vec::new();
        while !told.ends_with(b"{}") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            told.extend(byte);
        }
        assert!(told.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&told));
        stream.write_all(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    }
}

#[test]
fn a_question_whose_caller_left_is_withdrawn_and_its_place_free() {
    let rig = door();
    let stream = rig.send("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
    let (asked, _, _reply) = rig.asked();
    drop(stream);
    let Command::Withdraw { key } = rig.next() else { panic!("the question stays") };
    assert_eq!(key, asked);
    rig.rests();
}

#[test]
fn an_operator_that_leaves_during_the_rehearsal_hands_nothing_over() {
    for query in ["", "?dry-run", "?most-lost=0"] {
        let rig = door();
        let stream = rig.send(&submission(query));
        let (_, request, reply) = rig.asked();
        assert!(matches!(request, Request::RequestSamples), "{request:?}");
        stream.shutdown(Shutdown::Both).unwrap();
        drop(stream);
        let none = Response::RequestSamples { samples: Vec::new(), seen: 0, seconds: 1 };
        let _ = reply.send(none);
        rig.rests();
        let asked_more = rig
            .commands
            .try_iter()
            .any(|command| matches!(command, Command::Request { request: Request::Submit(_), .. }));
        assert!(!asked_more, "{query}: a plan was handed over for an operator that left");
    }
}

#[test]
fn a_caller_that_leaves_amid_its_body_is_forgotten() {
    let rig = door();
    let stream = rig.send("POST /plans HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n{");
    drop(stream);
    rig.rests();
    assert!(rig.commands.try_recv().is_err(), "nothing is asked for half a plan");
}

#[test]
fn a_plan_too_large_is_refused_unread() {
    let rig = door();
    let large = PLAN_TEXT_BYTES + 1;
    let mut stream =
        rig.send(&format!("POST /plans HTTP/1.1\r\nHost: x\r\nContent-Length: {large}\r\n\r\n"));
    let mut told = String::new();
    stream.read_to_string(&mut told).unwrap();
    assert!(told.starts_with("HTTP/1.1 413"), "{told}");
}
