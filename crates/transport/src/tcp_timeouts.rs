//! TCP timeouts for peers that vanish without closing the connection: a machine that lost its
//! power or is behind a partition.

use postbarrow_constants::traffic::{KEEPALIVE_IDLE_MS, KEEPALIVE_INTERVAL_MS, KEEPALIVE_PROBES};
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// Makes the connection fail once sent bytes are not acknowledged for `wait_ms` milliseconds
/// (`TCP_USER_TIMEOUT`, RFC 5482); 0 sets the system's default. Without this timeout, bytes to a
/// machine that lost its power are lost for minutes before the connection fails.
///
/// # Errors
/// The socket refuses the option.
pub fn set_unacknowledged_timeout(stream: &TcpStream, wait_ms: u64) -> io::Result<()> {
    let wait = (wait_ms > 0).then(|| Duration::from_millis(wait_ms));
    SockRef::from(stream).set_tcp_user_timeout(wait)
}

/// Enables probes of the connection while it is idle; the connection fails once the peer's machine
/// acknowledges no probe (RFC 9293, 3.8.4). A peer that merely sends no data stays connected.
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
