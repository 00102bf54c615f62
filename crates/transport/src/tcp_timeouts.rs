//! Time-outs for peers that vanish without closing: a machine without power, or behind a partition.

use postbarrow_constants::traffic::{KEEPALIVE_IDLE_MS, KEEPALIVE_INTERVAL_MS, KEEPALIVE_PROBES};
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// From now on the connection fails once sent bytes are not acknowledged for `wait_ms` milliseconds
/// (`TCP_USER_TIMEOUT`, RFC 5482); 0 is the system's default. Without it bytes to a machine that lost
/// its power vanish for minutes.
///
/// # Errors
/// The socket refuses the option.
pub fn set_unacknowledged_timeout(stream: &TcpStream, wait_ms: u64) -> io::Result<()> {
    let wait = (wait_ms > 0).then(|| Duration::from_millis(wait_ms));
    SockRef::from(stream).set_tcp_user_timeout(wait)
}

/// From now on an idle connection is probed, and fails once its peer's machine answers no probe
/// (RFC 9293, 3.8.4). A peer that only sends nothing stays connected.
///
/// # Errors
/// The socket refuses the option.
pub fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_millis(KEEPALIVE_IDLE_MS))
        .with_interval(Duration::from_millis(KEEPALIVE_INTERVAL_MS))
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

#[cfg(test)]
mod tests;
