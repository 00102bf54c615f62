//! Tests of `listen`.

use super::*;
use socket2::SockRef;

#[test]
fn a_peer_that_vanishes_does_not_keep_its_place_for_good() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (link, _) = listener.accept().unwrap();
    assert!(!SockRef::from(&link).keepalive().unwrap(), "an accepted link has none by itself");
    prepare(&link).unwrap();
    assert!(SockRef::from(&link).keepalive().unwrap(), "it is probed while nothing comes");
}
