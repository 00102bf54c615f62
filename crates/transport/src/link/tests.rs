//! Tests of `link`.

use super::*;
use crate::listen;
use std::net::TcpListener;

/// Timeout of each wait: far longer than any event here takes, and reached only if a wait hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle timeout of the links under test, and interval at which their end is checked.
const SHORT_INTERVAL: Duration = Duration::from_millis(1);

/// Starts a peer; returns its address and the messages that it receives.
fn peer() -> (SocketAddr, Receiver<Envelope>) {
    let (sender, received) = channel();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listen(listener, move |envelope| sender.send(envelope).is_ok()).unwrap();
    (address, received)
}

fn own_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn wait_until_ended(links: &Links, to: SocketAddr) {
    for _ in 0..HANG_TIMEOUT.as_millis() {
        if links.links[&to].has_ended() {
            return;
        }
        thread::sleep(SHORT_INTERVAL);
    }
    panic!("the link to {to} did not end");
}

#[test]
fn an_idle_link_ends_and_the_next_message_starts_another() {
    let (to, received) = peer();
    let mut links = Links::with_idle_timeout(own_address(), SHORT_INTERVAL);
    for _ in 0..3 {
        links.send(to, Message::Introduce);
        received.recv_timeout(HANG_TIMEOUT).expect("the peer receives the message");
        wait_until_ended(&links, to);
    }
}

#[test]
fn ended_links_to_departed_peers_are_removed() {
    let mut links = Links::with_idle_timeout(own_address(), SHORT_INTERVAL);
    for _ in 0..20 {
        let (to, received) = peer();
        links.send(to, Message::Introduce);
        received.recv_timeout(HANG_TIMEOUT).expect("the peer receives the message");
        wait_until_ended(&links, to);
    }
    assert_eq!(
        links.links.len(),
        1,
        "only the last link is there, since a link that ended is removed when another starts"
    );
}
