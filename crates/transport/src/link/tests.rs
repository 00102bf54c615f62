//! Tests of `link`.

use super::*;
use crate::listen;
use std::net::TcpListener;

/// Far longer than any event here takes; reached only if a wait hangs.
const HANG: Duration = Duration::from_secs(10);
const BRIEF: Duration = Duration::from_millis(1);

/// A peer, and the messages that it receives.
fn peer() -> (SocketAddr, Receiver<Envelope>) {
    let (sender, received) = channel();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listen(listener, move |envelope| sender.send(envelope).is_ok()).unwrap();
    (address, received)
}

fn own() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn wait_until_ended(links: &Links, to: SocketAddr) {
    for _ in 0..HANG.as_millis() {
        if links.links[&to].has_ended() {
            return;
        }
        thread::sleep(BRIEF);
    }
    panic!("the link to {to} does not end");
}

#[test]
fn an_idle_link_ends_and_the_next_message_starts_another() {
    let (to, received) = peer();
    let mut links = Links::with_idle(own(), BRIEF);
    for _ in 0..3 {
        links.send(to, Message::Introduce);
        received.recv_timeout(HANG).expect("it arrives");
        wait_until_ended(&links, to);
    }
}

#[test]
fn ended_links_to_departed_peers_are_removed() {
    let mut links = Links::with_idle(own(), BRIEF);
    for _ in 0..20 {
        let (to, received) = peer();
        links.send(to, Message::Introduce);
        received.recv_timeout(HANG).expect("it arrives");
        wait_until_ended(&links, to);
    }
    assert_eq!(links.links.len(), 1, "only the last, which nothing has replaced yet");
}
