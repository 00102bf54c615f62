//! A planned stop of a controller in a cluster of real control planes.

mod local;

use local::{empty_folder, startup};
use postbarrow_control_plane::ControlPlane;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Number of attempts, far more than the cluster needs: reached only if the cluster hangs.
const ATTEMPTS: usize = 2_000;
const PAUSE: Duration = Duration::from_millis(10);
/// Spaces after the plan, so that most of the submission's body is sent after the stop has begun.
const PADDING_BYTES: usize = 4_096;

fn start(name: &str, folder: &Path, seeds: Vec<SocketAddr>) -> ControlPlane {
    ControlPlane::start(&startup(name, seeds, Some(folder.join(name))))
        .expect("the control plane starts")
}

/// Sends a request on a new connection and returns the response's status and text.
fn send(address: SocketAddr, request: &[u8]) -> Option<(u16, String)> {
    let mut connection = TcpStream::connect(address).ok()?;
    connection.write_all(request).ok()?;
    read_response(&mut connection)
}

fn read_response(connection: &mut TcpStream) -> Option<(u16, String)> {
    let mut text = String::new();
    connection.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text))
}

/// Returns the controller's address, as this member's status response states it.
fn controller(member: &ControlPlane) -> Option<String> {
    let request = b"GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let (status, text) = send(member.http(), request)?;
    let (_, after) = text.split_once("\"controller\":\"")?;
    let (address, _) = after.split_once('"')?;
    (status == 200).then(|| address.to_string())
}

fn has_address(member: &ControlPlane, address: &str) -> bool {
    member.address().to_string() == address
}

fn wait_for<T>(failure: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let found = (0..ATTEMPTS).find_map(|_| {
        probe().or_else(|| {
            thread::sleep(PAUSE);
            None
        })
    });
    found.unwrap_or_else(|| panic!("{failure}"))
}

#[test]
fn a_stopping_controller_transfers_leadership_while_an_operator_still_sends_its_plan() {
    let folder = empty_folder("stop");
    let first = start("one", &folder, Vec::new());
    let seeds = vec![first.address()];
    let mut members = vec![first];
    members.push(start("two", &folder, seeds.clone()));
    members.push(start("three", &folder, seeds));
    let old_controller = wait_for("no member became the leader", || controller(&members[0]));
    let stopping = members
        .iter()
        .position(|member| has_address(member, &old_controller))
        .expect("the controller is one of the three members");
    let stopping = members.remove(stopping);

    let plan = "{\"version\":\"v1\",\"base\":null,\"services\":{},\"routes\":[]}";
    let body = format!("{plan}{}", " ".repeat(PADDING_BYTES));
    let (start_of_body, rest) = body.split_at(10);
    let mut submission =
        TcpStream::connect(stopping.http()).expect("the controller accepts the connection");
    let head = "POST /plans HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length:";
    write!(submission, "{head} {}\r\n\r\n{start_of_body}", body.len())
        .expect("the start of the request is sent");
    wait_for("the request is not pending", || (stopping.pending_requests() > 0).then_some(()));

    let stopped = thread::spawn(move || stopping.stop());
    let successor = wait_for("no other member became the leader", || {
        controller(&members[0]).filter(|address| *address != old_controller)
    });
    assert!(members.iter().any(|member| has_address(member, &successor)), "{successor}");
    submission.write_all(rest.as_bytes()).expect("the stopping controller still reads the request");
    let (status, text) = read_response(&mut submission).expect("a complete response");
    assert_eq!(status, 200, "{text}");
    stopped.join().expect("the stop returns");
}
