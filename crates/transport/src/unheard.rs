use std::io;
use std::net::TcpStream;
use std::os::fd::AsRawFd;

/// From now on the connection ends once what was sent is not acknowledged for so long; 0 is the
/// system's own patience. Without it bytes to a machine that lost its power vanish for minutes.
///
/// # Errors
/// The socket takes no such option.
pub fn give_up_unheard(stream: &TcpStream, wait_ms: u64) -> io::Result<()> {
    let wait = libc::c_uint::try_from(wait_ms).unwrap_or(libc::c_uint::MAX);
    let size = size_of::<libc::c_uint>() as libc::socklen_t;
    let place = std::ptr::from_ref(&wait).cast();
    let done = unsafe {
        let (level, option) = (libc::IPPROTO_TCP, libc::TCP_USER_TIMEOUT);
        libc::setsockopt(stream.as_raw_fd(), level, option, place, size)
    };
    if done == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}

#[cfg(test)]
mod tests;
