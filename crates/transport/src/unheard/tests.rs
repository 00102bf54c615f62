//! Tests of `unheard`.

use super::*;
use std::net::TcpListener;

#[test]
fn the_system_takes_the_patience_and_gives_it_back() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    for wait_ms in [400, 0] {
        give_up_unheard(&stream, wait_ms).unwrap();
        let mut wait: libc::c_uint = 7;
        let mut size = size_of::<libc::c_uint>() as libc::socklen_t;
        let place = std::ptr::from_mut(&mut wait).cast();
        let (level, option) = (libc::IPPROTO_TCP, libc::TCP_USER_TIMEOUT);
        let done = unsafe { libc::getsockopt(stream.as_raw_fd(), level, option, place, &mut size) };
        assert_eq!((done, u64::from(wait)), (0, wait_ms));
    }
}
