//! Tests of `poll`.

use super::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};

/// Timeout of each wait, reached only if a wait hangs.
const HANG_TIMEOUT_MS: u64 = 60_000;

fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (far, _) = listener.accept().unwrap();
    (near, far)
}

#[test]
fn bytes_and_space_are_reported_and_an_idle_socket_is_not_ready() {
    let (near, mut far) = connected_pair();
    let [idle] = poll([(&near, Interest::Read)], 0).unwrap();
    assert!(!idle.is_ready() && !idle.is_hung_up());
    let [space] = poll([(&near, Interest::Write)], HANG_TIMEOUT_MS).unwrap();
    assert!(space.is_ready() && !space.is_readable());
    far.write_all(b"a").unwrap();
    let [bytes] = poll([(&near, Interest::Read)], HANG_TIMEOUT_MS).unwrap();
    assert!(bytes.is_readable() && !bytes.is_hung_up());
}

#[test]
fn a_hangup_is_reported_while_bytes_are_unread() {
    for interest in [Interest::Hangup, Interest::Read, Interest::Write] {
        let (mut near, mut far) = connected_pair();
        far.write_all(b"the next request").unwrap();
        let [unread] = poll([(&near, Interest::Hangup)], 0).unwrap();
        assert!(!unread.is_ready(), "bytes without a close are no hangup");
        far.shutdown(Shutdown::Write).unwrap();
        let [closed] = poll([(&near, interest)], HANG_TIMEOUT_MS).unwrap();
        assert!(closed.is_hung_up(), "{interest:?}");
        let mut read = Vec::new();
        near.read_to_end(&mut read).unwrap();
        assert_eq!(read, b"the next request", "the bytes can be read after the hangup");
    }
}

#[test]
fn one_ready_socket_of_two_completes_the_wait() {
    let (idle, _far) = connected_pair();
    let (near, far) = connected_pair();
    drop(far);
    let readiness =
        poll([(&idle, Interest::Read), (&near, Interest::Hangup)], HANG_TIMEOUT_MS).unwrap();
    assert!(!readiness[0].is_ready() && readiness[1].is_hung_up());
}
