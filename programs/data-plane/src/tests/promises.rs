use super::rig::*;
use crate::dialect::ResponseJudgement;
use crate::target_connection::{EndsWithClient, Outgoing, TargetConnection, Terms};
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::memory_budget::{MemoryBudget, Reserved};
use postbarrow_messages::{Request, Response};
use postbarrow_node::AttemptOutcome;
use postbarrow_state::{Call, Change, Event, Outcome, Target};
use postbarrow_transport::clock_ms;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpStream;

fn space() -> Reserved {
    MemoryBudget::new(1 << 20).reserve(0).unwrap()
}

fn header(told: &str, name: &str) -> Option<String> {
    let line = told.lines().find(|line| line.to_ascii_lowercase().starts_with(name))?;
    Some(line.split_once(": ")?.1.to_string())
}

fn keys(rig: &Rig) -> Vec<String> {
    let asked = rig.asked.lock().unwrap();
    let keys = asked.iter().filter_map(|ask| match ask {
        Request::Ticket(ticket) => Some(ticket.key.to_string()),
        _ => None,
    });
    keys.collect()
}

#[test]
fn who_came_without_a_key_is_told_under_which_a_repeat_is_safe() {
    let found = ScriptedTarget::start("s-1", "s", vec![Script::Raw(Vec::new())]);
    let rig = Rig::new(vec![target("s-1", "s", found.address)], yes);
    let told = rig.post("", "a");
    assert!(told.contains("Postbarrow-Outcome: unknown"), "{told}");
    let key = header(&told, "postbarrow-key:").expect("the made-up key is told");
    assert_eq!(header(&told, "retry-after:"), None, "another try without the key is not safe");
    assert_eq!(keys(&rig), [key.as_str()]);
    rig.post(&format!("Idempotency-Key: {key}\r\n"), "a");
    assert_eq!(keys(&rig), [key.as_str(), key.as_str()], "a repeat asks for the same ticket");
    let other = header(&rig.post("", "a"), "postbarrow-key:").unwrap();
    assert_ne!(other, key);
    let common = other.bytes().zip(key.bytes()).rev().take_while(|(a, b)| a == b).count();
    assert!(common < 6, "a key can't be guessed from another: {key} {other}");
    let keyed = rig.post("Idempotency-Key: mine\r\n", "a");
    assert_eq!(header(&keyed, "postbarrow-key:"), None);
    assert!(header(&keyed, "retry-after:").is_some(), "its own key makes another try safe");
}

#[test]
fn a_repeat_that_is_turned_away_unread_is_never_told_not_run() {
    let found = ScriptedTarget::start("s-1", "s", vec![Script::Whole("fine")]);
    let rig = Rig::new(vec![target("s-1", "s", found.address)], yes);
    let bad = |key: &str| {
        let head = format!("POST /post/1 HTTP/1.1\r\nHost: h\r\n{key}Transfer-Encoding: chunked");
        rig.raw(format!("{head}\r\n\r\nzz\r\n").as_bytes())
    };
    assert!(bad("").contains("Postbarrow-Outcome: not-run"));
    let keyed = bad("Idempotency-Key: k\r\n");
    assert!(keyed.starts_with("HTTP/1.1 400"), "{keyed}");
    assert!(keyed.contains("Postbarrow-Outcome: unknown"), "{keyed}");
    assert_eq!(found.runs(), 0);
}

/// Passes a posting on over a new connection that its target proved.
fn pass(to: &Target, body: &[u8], may_send: &dyn Fn() -> bool) -> (AttemptOutcome, bool) {
    let nobody = ClientWatch::nobody();
    let until_ms = clock_ms() + 60_000;
    let mut connection = TargetConnection::open(to.address, until_ms, &nobody).unwrap();
    connection.prove(to, until_ms, &nobody).unwrap();
    let request = Outgoing {
        method: "POST",
        path: "/post/1",
        headers: &[],
        body,
        until_ms,
        repeatable: false,
    };
    let terms = Terms {
        may_send,
        client: &nobody,
        ends_with_client: EndsWithClient::Never,
        judge: &|_, _| ResponseJudgement::Complete,
    };
    let (passed, back) = connection.pass(&request, &terms, &mut space());
    (passed, back.is_some())
}

#[test]
fn a_shut_gate_lets_no_byte_out_and_an_open_one_is_asked_once() {
    let found = ScriptedTarget::start("s-1", "s", vec![Script::Whole("fine")]);
    let to = target("s-1", "s", found.address);
    let (passed, is_back) = pass(&to, b"a", &|| false);
    assert!(matches!(passed, AttemptOutcome::Unsent(_)) && !is_back, "{passed:?}");
    assert_eq!(found.runs(), 0);
    let asked = Cell::new(0);
    let body = vec![7; 300_000];
    let (passed, is_back) = pass(&to, &body, &|| asked.replace(asked.get() + 1) == 0);
    assert!(matches!(passed, AttemptOutcome::Complete(_)) && is_back, "{passed:?}");
    assert_eq!(asked.get(), 1, "the gate of a proof is not the request's");
    assert_eq!(found.seen.lock().unwrap().bodies[0].len(), body.len());
}

#[test]
fn a_log_without_space_is_told_as_not_run_with_a_time_to_come_back() {
    let found = ScriptedTarget::start("s-1", "s", vec![Script::Whole("fine")]);
    let full = |ask: &Request| match ask {
        Request::Ticket(_) => Response::Full,
        ask => yes(ask),
    };
    let rig = Rig::new(vec![target("s-1", "s", found.address)], full);
    for key in ["", "Idempotency-Key: k\r\n"] {
        let told = rig.post(key, "a");
        assert!(told.starts_with("HTTP/1.1 503"), "{told}");
        assert!(told.contains("Postbarrow-Outcome: not-run"), "{told}");
        assert!(header(&told, "retry-after:").is_some());
    }
    assert_eq!(found.runs(), 0);
}

/// What does not match a watch still moves it on, or the history it needs would be trimmed.
#[test]
fn a_watch_that_hears_nothing_moves_on_with_the_log() {
    let answer = |ask: &Request| match ask {
        Request::Call { call: Call::Watch { after: Some(3), .. }, .. } => {
            Response::Outcome(Outcome::Events { events: Vec::new(), next: 9 })
        }
        Request::Call { call: Call::Watch { after: Some(9), .. }, .. } => {
            let change = Change::Number(4);
            let event = Event { revision: 12, name: "n".into(), change };
            Response::Outcome(Outcome::Events { events: vec![event], next: 12 })
        }
        _ => Response::Outcome(Outcome::TooOld { floor: 5 }),
    };
    let rig = Rig::new(Vec::new(), answer);
    let mut stream = TcpStream::connect(rig.http).unwrap();
    let head =
        "GET /coordination/watch/numbers?after=3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let mut told = String::new();
    stream.read_to_string(&mut told).unwrap();
    assert!(told.contains("\"next\":12") && told.contains("200 OK"), "{told}");
}
