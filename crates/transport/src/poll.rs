//! Waiting for several sockets at once.

use std::io;
use std::net::TcpStream;
use std::os::fd::AsRawFd;

/// What to wait for on a socket. The end of the peer's side and errors are always reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interest {
    /// Bytes to read.
    Read,
    /// Space to write.
    Write,
    /// Only that the peer closed or reset the connection.
    Hangup,
}

/// What a socket is ready for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readiness(libc::c_short);

impl Readiness {
    /// A read or write returns at once, possibly with an error.
    pub fn is_ready(self) -> bool {
        self.0 != 0
    }

    /// Bytes, or the end of the stream, can be read.
    pub fn is_readable(self) -> bool {
        self.0 & libc::POLLIN != 0
    }

    /// The peer closed its side, or the connection is broken.
    pub fn is_hung_up(self) -> bool {
        self.0 & (libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR | libc::POLLNVAL) != 0
    }
}

/// Waits until one of the sockets is ready, for `wait_ms` milliseconds at most. A signal may end the
/// wait early, with none ready.
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
    let done = unsafe { libc::poll(entries.as_mut_ptr(), count, wait) };
    if done < 0 {
        let error = io::Error::last_os_error();
        if error.kind() != io::ErrorKind::Interrupted {
            return Err(error);
        }
    }
    Ok(entries.map(|entry| Readiness(if done > 0 { entry.revents } else { 0 })))
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
