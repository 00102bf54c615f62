//! Tests of `tcp_timeouts`.

use super::*;
use std::net::TcpListener;

fn connected() -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    TcpStream::connect(listener.local_addr().unwrap()).unwrap()
}

#[test]
fn the_user_timeout_is_set_and_reset() {
    let stream = connected();
    for wait_ms in [400, 0] {
        set_unacknowledged_timeout(&stream, wait_ms).unwrap();
        let wait = SockRef::from(&stream).tcp_user_timeout().unwrap();
        assert_eq!(wait.map_or(0, |wait| wait.as_millis() as u64), wait_ms);
    }
}

#[test]
fn keepalive_is_enabled_with_the_times_and_probes_of_the_constants() {
    let stream = connected();
    assert!(!SockRef::from(&stream).keepalive().unwrap());
    enable_keepalive(&stream).unwrap();
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().unwrap());
    let idle = socket.tcp_keepalive_time().unwrap();
    let interval = socket.tcp_keepalive_interval().unwrap();
    assert_eq!(idle, Duration::from_millis(KEEPALIVE_IDLE_MS));
    assert_eq!(interval, Duration::from_millis(KEEPALIVE_INTERVAL_MS));
    assert_eq!(socket.tcp_keepalive_retries().unwrap(), KEEPALIVE_PROBES);
}
