//! Tests of `listen`.

use super::*;
use socket2::SockRef;

#[test]
fn an_accepted_link_has_keepalive_enabled() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (link, _) = listener.accept().unwrap();
    assert!(!SockRef::from(&link).keepalive().unwrap(), "an accepted socket has none by default");
    prepare(&link).unwrap();
    assert!(SockRef::from(&link).keepalive().unwrap(), "it is probed while idle");
}
