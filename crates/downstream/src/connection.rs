//! One client connection: reads its requests and writes the responses.

use crate::client_watch::ClientWatch;
use crate::head::{self, Head};
use crate::reject::{CLIENT_DEPARTED, HEAD_TOO_LARGE, Reject, TIMED_OUT};
use crate::response::ResponseHead;
use postbarrow_constants::traffic::*;
use postbarrow_node::TargetResponse;
use postbarrow_transport::{clock_ms, enable_keepalive};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, TcpStream};
use std::time::Duration;

/// One client connection. Reads have deadlines, so that no client occupies its thread forever.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Number of bytes at the start of `buffer` that are already consumed.
    start: usize,
    client: IpAddr,
}

/// Limits for reading the head of a request.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Longest time from the first byte of a head to its last, in milliseconds.
    pub head_wait_ms: u64,
    /// Longest time that the connection may stay idle before a request, in milliseconds.
    pub idle_ms: u64,
}

impl Default for ReadLimits {
    fn default() -> Self {
        ReadLimits {
            head_bytes: HEAD_BYTES,
            head_wait_ms: HEAD_WAIT_MS,
            idle_ms: DOWNSTREAM_IDLE_MS,
        }
    }
}

/// The next input on a client connection.
pub enum NextRequest {
    /// The head of a request whose body is not read yet.
    Head(Head),
    /// The bytes are not a valid request, or arrived too late; the connection can't be reused.
    Reject(Reject),
    /// No request follows: the client closed the connection, or the node closes it because it is
    /// idle or the node stops.
    Closed,
}

impl Connection {
    /// Sets timeouts and options on a connection that was just accepted.
    ///
    /// # Errors
    /// Returns the system's error if an option can't be set or the client has already departed.
    pub fn new(stream: TcpStream) -> std::io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(PEER_CLOSED_CHECK_MS)))?;
        stream.set_write_timeout(Some(Duration::from_millis(DOWNSTREAM_WRITE_MS)))?;
        enable_keepalive(&stream)?;
        let client = stream.peer_addr()?.ip();
        Ok(Connection { stream, buffer: Vec::new(), start: 0, client })
    }

    /// Waits for the next request and reads its head. Returns [`NextRequest::Closed`] for an idle
    /// connection once `stopping` returns true.
    pub fn next_request(&mut self, limits: ReadLimits, stopping: impl Fn() -> bool) -> NextRequest {
        let idle_until_ms = clock_ms() + limits.idle_ms;
        while self.buffered().is_empty() {
            if stopping() || clock_ms() >= idle_until_ms {
                return NextRequest::Closed;
            }
            if self.fill().is_err() {
                return NextRequest::Closed;
            }
        }
        let deadline_ms = clock_ms() + limits.head_wait_ms;
        loop {
            match head::parse(self.buffered()) {
                Ok(Some((_, length))) if length > limits.head_bytes => {
                    return NextRequest::Reject(HEAD_TOO_LARGE);
                }
                Ok(Some((head, length))) => {
                    self.consume(length);
                    return NextRequest::Head(head);
                }
                Ok(None) if self.buffered().len() > limits.head_bytes => {
                    return NextRequest::Reject(HEAD_TOO_LARGE);
                }
                Ok(None) => match self.read_more(deadline_ms) {
                    Ok(()) => {}
                    Err(reject) if reject == CLIENT_DEPARTED => return NextRequest::Closed,
                    Err(reject) => return NextRequest::Reject(reject),
                },
                Err(reject) => return NextRequest::Reject(reject),
            }
        }
    }

    /// Returns the client's IP address, as accepted.
    pub fn client(&self) -> IpAddr {
        self.client
    }

    /// Returns the bytes that were read but are not consumed yet.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Removes the first `length` buffered bytes.
    pub fn consume(&mut self, length: usize) {
        self.start += length;
        if self.start == self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
        } else if self.start > READ_BYTES {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
    }

    /// Reads once. Returns true if bytes arrived, and false if none did within the read timeout.
    fn fill(&mut self) -> std::io::Result<bool> {
        let mut received = [0; READ_BYTES];
        match self.stream.read(&mut received) {
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            Ok(length) => {
                self.buffer.extend_from_slice(&received[..length]);
                Ok(true)
            }
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => Ok(false),
                _ => Err(error),
            },
        }
    }

    /// Reads at least one more byte, by `deadline_ms` of the boot-time clock.
    ///
    /// # Errors
    /// Fails if the deadline has passed or the client has departed.
    pub fn read_more(&mut self, deadline_ms: u64) -> Result<(), Reject> {
        loop {
            if clock_ms() >= deadline_ms {
                return Err(TIMED_OUT);
            }
            match self.fill() {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(_) => return Err(CLIENT_DEPARTED),
            }
        }
    }

    /// Appends exactly `length` bytes to `into`, by `deadline_ms` of the boot-time clock.
    ///
    /// # Errors
    /// Fails if the deadline has passed or the client has departed.
    pub fn read_exact(
        &mut self,
        length: usize,
        into: &mut Vec<u8>,
        deadline_ms: u64,
    ) -> Result<(), Reject> {
        let mut remaining = length;
        loop {
            let ready = remaining.min(self.buffered().len());
            into.extend_from_slice(&self.buffered()[..ready]);
            self.consume(ready);
            remaining -= ready;
            if remaining == 0 {
                return Ok(());
            }
            self.read_more(deadline_ms)?;
        }
    }

    /// Returns a watch that detects the client's departure without consuming bytes.
    pub fn watch(&self) -> ClientWatch<'_> {
        ClientWatch::new(&self.stream)
    }

    /// Sends `100 Continue` to a client that waits for it before it sends its body (RFC 9110,
    /// 10.1.1).
    ///
    /// # Errors
    /// Fails if the client has departed.
    pub fn send_continue(&mut self) -> std::io::Result<()> {
        self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
    }

    /// Writes a complete response. The length of the body is always stated, so that a truncated
    /// response never looks complete.
    ///
    /// # Errors
    /// Fails if the client has departed or reads the response too slowly.
    pub fn write(
        &mut self,
        response: &TargetResponse,
        method: &str,
        close: bool,
    ) -> std::io::Result<()> {
        let ResponseHead { mut bytes, has_body } = ResponseHead::new(response, method, close);
        if has_body {
            if bytes.len() + response.body.len() <= WRITE_BYTES {
                bytes.extend_from_slice(&response.body);
            } else {
                self.write_chunks(&bytes, response.body.len())?;
                return self.write_chunks(&response.body, response.body.len());
            }
        }
        self.stream.write_all(&bytes)
    }

    /// Writes `bytes` in chunks with a deadline that grows with `body_bytes`, so that a client that
    /// reads too slowly does not occupy the response's memory.
    fn write_chunks(&mut self, bytes: &[u8], body_bytes: usize) -> std::io::Result<()> {
        let until_ms =
            clock_ms() + DOWNSTREAM_WRITE_MS + body_bytes as u64 / DOWNSTREAM_BYTES_PER_MS;
        for chunk in bytes.chunks(WRITE_BYTES) {
            if clock_ms() >= until_ms {
                return Err(ErrorKind::TimedOut.into());
            }
            self.stream.write_all(chunk)?;
        }
        Ok(())
    }

    /// Closes the sending side, then discards what the client still sends for a short time, so that
    /// the client can read its rejection: a close with unread bytes would reset the connection
    /// (RFC 9112, 9.6).
    pub fn close_after_rejection(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
        let until_ms = clock_ms() + 2 * PEER_CLOSED_CHECK_MS;
        let mut received = [0; READ_BYTES];
        while clock_ms() < until_ms {
            match self.stream.read(&mut received) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}
