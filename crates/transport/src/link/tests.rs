//! Tests of `link`.

use super::*;
use crate::listen;
use std::net::TcpListener;

/// Far beyond everything here that ends by an event; reached only by a wait that hangs.
const HANG: Duration = Duration::from_secs(10);
const BRIEF: Duration = Duration::from_millis(1);

/// A peer, and what it gets.
fn peer() -> (SocketAddr, Receiver<Envelope>) {
    let (hand, got) = channel();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listen(listener, move |envelope| hand.send(envelope).is_ok()).unwrap();
    (address, got)
}

fn own() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn ends(links: &Links, to: SocketAddr) {
    for _ in 0..HANG.as_millis() {
        if links.links[&to].has_ended() {
            return;
        }
        thread::sleep(BRIEF);
    }
    panic!("the link to {to} is kept");
}

#[test]
fn a_link_over_which_nothing_goes_ends_and_the_next_message_opens_another() {
    let (to, got) = peer();
    let mut links = Links::with_idle(own(), BRIEF);
    for _ in 0..3 {
        links.send(to, Message::Introduce);
        got.recv_timeout(HANG).expect("it arrives");
        ends(&links, to);
    }
}

#[test]
fn links_to_peers_that_left_are_forgotten() {
    let mut links = Links::with_idle(own(), BRIEF);
    for _ in 0..20 {
        let (to, got) = peer();
        links.send(to, Message::Introduce);
        got.recv_timeout(HANG).expect("it arrives");
        ends(&links, to);
    }
    assert_eq!(links.links.len(), 1, "only the last, which nothing has replaced yet");
}
