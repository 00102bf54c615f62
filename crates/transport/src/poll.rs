//! Waits for several sockets at once with poll(2).

use std::io;
use std::net::TcpStream;
use std::os::fd::AsRawFd;

/// The event to wait for on a socket. Errors, and that the peer closed its side, are always
/// reported too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interest {
    /// Bytes to read.
    Read,
    /// Space to write.
    Write,
    /// Only a close or reset of the connection by the peer.
    Hangup,
}

/// The events that poll(2) reported for a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readiness(libc::c_short);

impl Readiness {
    /// Returns whether any event was reported, so that the awaited read or write does not block; it
    /// may fail.
    pub fn is_ready(self) -> bool {
        self.0 != 0
    }

    /// Returns whether bytes or the end of the stream can be read.
    pub fn is_readable(self) -> bool {
        self.0 & libc::POLLIN != 0
    }

    /// Returns whether the peer closed its side, or the connection is broken.
    pub fn is_hung_up(self) -> bool {
        self.0 & (libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR | libc::POLLNVAL) != 0
    }
}

/// Waits until one of the sockets is ready, for `wait_ms` milliseconds at most, and returns the
/// readiness of each in the same order. A signal may end the wait early, with no socket ready.
///
/// # Errors
/// The error of poll(2), except an interruption by a signal.
pub fn poll<const N: usize>(
    sockets: [(&TcpStream, Interest); N],
    wait_ms: u64,
) -> io::Result<[Readiness; N]> {
    let mut entries = sockets.map(|(stream, interest)| libc::pollfd {
        fd: stream.as_raw_fd(),
        events: events(interest),
        revents: 0,
    });
    let wait = libc::c_int::try_from(wait_ms).unwrap_or(libc::c_int::MAX);
    let count = entries.len() as libc::nfds_t;
    let ready_count = unsafe { libc::poll(entries.as_mut_ptr(), count, wait) };
    if ready_count < 0 {
        let error = io::Error::last_os_error();
        if error.kind() != io::ErrorKind::Interrupted {
            return Err(error);
        }
    }
    Ok(entries.map(|entry| Readiness(if ready_count > 0 { entry.revents } else { 0 })))
}

fn events(interest: Interest) -> libc::c_short {
    libc::POLLRDHUP
        | match interest {
            Interest::Read => libc::POLLIN,
            Interest::Write => libc::POLLOUT,
            Interest::Hangup => 0,
        }
}

#[cfg(test)]
mod tests;
