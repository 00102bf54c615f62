//! Tests of `listen`.

use super::*;
use socket2::SockRef;

#[test]
fn an_accepted_link_has_keepalive_enabled() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (link, _) = listener.accept().unwrap();
    assert!(
        !SockRef::from(&link).keepalive().unwrap(),
        "an accepted socket has no keep-alive by default"
    );
    set_options(&link).unwrap();
    assert!(SockRef::from(&link).keepalive().unwrap(), "the idle link is probed");
}
