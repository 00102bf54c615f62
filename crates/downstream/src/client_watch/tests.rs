//! Tests of `client_watch`.

use super::*;
use crate::test_sockets::connected_pair;
use std::io::Write;
use std::net::Shutdown;

/// Timeout in milliseconds, far longer than any event in these tests takes; only a wait that hangs
/// reaches it.
const HANG_TIMEOUT_MS: u64 = 60_000;

fn reset_connection(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO)).unwrap();
}

#[test]
fn an_open_connection_is_not_a_departure() {
    let (near, _client) = connected_pair();
    let watch = ClientWatch::new(&near);
    assert!(!watch.has_departed() && !watch.is_known_departed());
}

#[test]
fn a_close_a_half_close_and_a_reset_are_departures() {
    let closes: [fn(TcpStream); 3] =
        [drop, |client| client.shutdown(Shutdown::Write).unwrap(), reset_connection];
    for close in closes {
        let (near, client) = connected_pair();
        let watch = ClientWatch::new(&near);
        close(client);
        assert!(watch.has_departed());
        assert!(watch.is_known_departed());
    }
}

#[test]
fn a_close_after_unread_bytes_is_a_departure() {
    let (near, mut client) = connected_pair();
    let watch = ClientWatch::new(&near);
    client.write_all(b"GET /next HTTP/1.1\r\n\r\n").unwrap();
    while !watch.has_unread.get() {
        assert!(!watch.has_departed(), "unread bytes are not a hangup");
    }
    assert!(!watch.has_departed());
    drop(client);
    assert!(watch.has_departed());
}

#[test]
fn bytes_of_the_next_request_do_not_end_a_wait() {
    let (near, mut client) = connected_pair();
    let (other, mut far) = connected_pair();
    client.write_all(b"GET /next HTTP/1.1\r\n\r\n").unwrap();
    let watch = ClientWatch::new(&near);
    let waited = watch.wait_for(&other, Interest::Read, clock_ms()).unwrap();
    assert_eq!(waited, WaitOutcome::TimedOut);
    far.write_all(b"a").unwrap();
    let waited = watch.wait_for(&other, Interest::Read, clock_ms() + HANG_TIMEOUT_MS).unwrap();
    assert_eq!(waited, WaitOutcome::Ready);
}

#[test]
fn a_departure_ends_a_wait_even_if_the_other_socket_is_ready() {
    let (near, client) = connected_pair();
    let (other, mut far) = connected_pair();
    far.write_all(b"a").unwrap();
    drop(client);
    let watch = ClientWatch::new(&near);
    let until_ms = clock_ms() + HANG_TIMEOUT_MS;
    assert_eq!(
        watch.wait_for(&other, Interest::Read, until_ms).unwrap(),
        WaitOutcome::ClientDeparted
    );
}

#[test]
fn a_watch_without_a_client_never_reports_a_departure() {
    let (other, mut far) = connected_pair();
    let watch = ClientWatch::without_client();
    assert!(!watch.has_departed());
    far.write_all(b"a").unwrap();
    let until_ms = clock_ms() + HANG_TIMEOUT_MS;
    assert_eq!(watch.wait_for(&other, Interest::Read, until_ms).unwrap(), WaitOutcome::Ready);
    assert!(!watch.has_departed());
}

#[test]
fn a_message_is_received_and_a_departure_ends_the_wait_for_one() {
    let (near, client) = connected_pair();
    let watch = ClientWatch::new(&near);
    let (sender, messages) = std::sync::mpsc::channel();
    let until_ms = clock_ms() + HANG_TIMEOUT_MS;
    sender.send(7).unwrap();
    assert_eq!(watch.receive(&messages, until_ms), Ok(7));
    assert_eq!(watch.receive(&messages, clock_ms()), Err(ReceiveError::TimedOut));
    drop(client);
    assert_eq!(watch.receive(&messages, until_ms), Err(ReceiveError::ClientDeparted));
    drop(sender);
    let no_client = ClientWatch::without_client();
    assert_eq!(no_client.receive(&messages, until_ms), Err(ReceiveError::Disconnected));
}
