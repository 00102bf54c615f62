//! Tests of `client_watch`.

use super::*;
use std::io::Write;
use std::net::{Shutdown, TcpListener};

/// Far longer than any event here takes; reached only if a wait hangs.
const HANG_MS: u64 = 60_000;

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (far, _) = listener.accept().unwrap();
    (near, far)
}

fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO)).unwrap();
}

#[test]
fn a_waiting_client_has_not_departed() {
    let (near, _client) = pair();
    let watch = ClientWatch::new(&near);
    assert!(!watch.has_departed() && !watch.is_known_departed());
}

#[test]
fn a_close_a_half_close_and_a_reset_are_departures() {
    let closes: [fn(TcpStream); 3] =
        [drop, |client| client.shutdown(Shutdown::Write).unwrap(), reset];
    for close in closes {
        let (near, client) = pair();
        let watch = ClientWatch::new(&near);
        close(client);
        assert!(watch.has_departed());
        assert!(watch.is_known_departed());
    }
}

#[test]
fn a_close_behind_unread_bytes_is_a_departure() {
    let (near, mut client) = pair();
    let watch = ClientWatch::new(&near);
    client.write_all(b"GET /next HTTP/1.1\r\n\r\n").unwrap();
    while !watch.has_unread.get() {
        assert!(!watch.has_departed(), "bytes are no hangup");
    }
    assert!(!watch.has_departed());
    drop(client);
    assert!(watch.has_departed());
}

#[test]
fn bytes_of_a_next_request_do_not_end_a_wait() {
    let (near, mut client) = pair();
    let (other, mut far) = pair();
    client.write_all(b"GET /next HTTP/1.1\r\n\r\n").unwrap();
    let watch = ClientWatch::new(&near);
    let waited = watch.wait_for(&other, Interest::Read, clock_ms()).unwrap();
    assert_eq!(waited, WaitOutcome::TimedOut);
    far.write_all(b"a").unwrap();
    let waited = watch.wait_for(&other, Interest::Read, clock_ms() + HANG_MS).unwrap();
    assert_eq!(waited, WaitOutcome::Ready);
}

#[test]
fn a_departure_ends_a_wait_and_precedes_readiness() {
    let (near, client) = pair();
    let (other, mut far) = pair();
    far.write_all(b"a").unwrap();
    drop(client);
    let watch = ClientWatch::new(&near);
    let until_ms = clock_ms() + HANG_MS;
    assert_eq!(
        watch.wait_for(&other, Interest::Read, until_ms).unwrap(),
        WaitOutcome::ClientDeparted
    );
}

#[test]
fn nobody_never_departs() {
    let (other, mut far) = pair();
    let watch = ClientWatch::nobody();
    assert!(!watch.has_departed());
    far.write_all(b"a").unwrap();
    let until_ms = clock_ms() + HANG_MS;
    assert_eq!(watch.wait_for(&other, Interest::Read, until_ms).unwrap(), WaitOutcome::Ready);
    assert!(!watch.has_departed());
}

#[test]
fn a_message_is_received_and_a_departure_ends_the_wait_for_one() {
    let (near, client) = pair();
    let watch = ClientWatch::new(&near);
    let (sender, messages) = std::sync::mpsc::channel();
    let until_ms = clock_ms() + HANG_MS;
    sender.send(7).unwrap();
    assert_eq!(watch.receive(&messages, until_ms), Ok(7));
    assert_eq!(watch.receive(&messages, clock_ms()), Err(ReceiveError::TimedOut));
    drop(client);
    assert_eq!(watch.receive(&messages, until_ms), Err(ReceiveError::ClientDeparted));
    drop(sender);
    let nobody = ClientWatch::nobody();
    assert_eq!(nobody.receive(&messages, until_ms), Err(ReceiveError::Disconnected));
}
