//! Peers that vanish without a word: a machine without power, or behind a cut.

use postbarrow_constants::traffic::{KEEPALIVE_IDLE_MS, KEEPALIVE_INTERVAL_MS, KEEPALIVE_PROBES};
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// From now on the connection ends once what was sent is not acknowledged for so long; 0 is the
/// system's own patience. Without it bytes to a machine that lost its power vanish for minutes.
///
/// # Errors
/// The socket takes no such option.
pub fn set_unacknowledged_timeout(stream: &TcpStream, wait_ms: u64) -> io::Result<()> {
    let wait = (wait_ms > 0).then(|| Duration::from_millis(wait_ms));
    SockRef::from(stream).set_tcp_user_timeout(wait)
}

/// From now on a connection on which nothing comes is probed, and ends once its peer's machine
/// answers no probe. A peer that is only silent stays.
///
/// # Errors
/// The socket takes no such option.
pub fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_millis(KEEPALIVE_IDLE_MS))
        .with_interval(Duration::from_millis(KEEPALIVE_INTERVAL_MS))
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

#[cfg(test)]
mod tests;
