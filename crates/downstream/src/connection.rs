//! One connection of a caller: its requests in, its responses out.

use crate::body::CLIENT_DEPARTED;
use crate::client_watch::ClientWatch;
use crate::head::{self, Head, Reject, end_to_end_headers};
use postbarrow_constants::traffic::*;
use postbarrow_node::TargetResponse;
use postbarrow_transport::{clock_ms, enable_keepalive};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, TcpStream};
use std::time::Duration;

/// One client connection, read with deadlines so that none holds its thread for ever.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    start: usize,
    client: IpAddr,
}

/// How much and how long a client may take.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// The largest head.
    pub head_bytes: usize,
    /// From a head's first byte to its last.
    pub head_wait_ms: u64,
    /// Between two requests.
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

/// What comes next on a connection.
pub enum NextRequest {
    /// A request, whose body is not read yet.
    Head(Head),
    /// Something that is no request; the connection can't go on.
    Reject(Reject),
    /// Nothing more: either side ended it.
    Closed,
}

const SLOW: Reject = Reject { status: 408, reason: "the request did not come in time" };

impl Connection {
    /// Takes a connection as it was accepted.
    ///
    /// # Errors
    /// The socket takes no options, or is closed already.
    pub fn new(stream: TcpStream) -> std::io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(PEER_CLOSED_CHECK_MS)))?;
        stream.set_write_timeout(Some(Duration::from_millis(DOWNSTREAM_WRITE_MS)))?;
        enable_keepalive(&stream)?;
        let client = stream.peer_addr()?.ip();
        Ok(Connection { stream, buffer: Vec::new(), start: 0, client })
    }

    /// Waits for the next request; an idle connection ends when the node stops.
    pub fn next_request(
        &mut self,
        patience: ReadLimits,
        stopping: impl Fn() -> bool,
    ) -> NextRequest {
        let idle_until_ms = clock_ms() + patience.idle_ms;
        while self.buffered().is_empty() {
            if stopping() || clock_ms() >= idle_until_ms {
                return NextRequest::Closed;
            }
            if self.fill().is_err() {
                return NextRequest::Closed;
            }
        }
        let deadline_ms = clock_ms() + patience.head_wait_ms;
        loop {
            match head::parse(self.buffered()) {
                Ok(Some((_, length))) if length > patience.head_bytes => {
                    return NextRequest::Reject(Reject {
                        status: 431,
                        reason: "the head is too large",
                    });
                }
                Ok(Some((head, length))) => {
                    self.consume(length);
                    return NextRequest::Head(head);
                }
                Ok(None) if self.buffered().len() > patience.head_bytes => {
                    return NextRequest::Reject(Reject {
                        status: 431,
                        reason: "the head is too large",
                    });
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

    /// The caller's address.
    pub fn client(&self) -> IpAddr {
        self.client
    }

    /// What was read and not consumed yet.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Drops so many bytes of what was read.
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

    /// True if bytes came, false if none did yet.
    fn fill(&mut self) -> std::io::Result<bool> {
        let mut part = [0; READ_BYTES];
        match self.stream.read(&mut part) {
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            Ok(length) => {
                self.buffer.extend_from_slice(&part[..length]);
                Ok(true)
            }
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => Ok(false),
                _ => Err(error),
            },
        }
    }

    /// Reads at least one byte more, until a moment of the boot-time clock.
    ///
    /// # Errors
    /// It is too late, or the client left.
    pub fn read_more(&mut self, deadline_ms: u64) -> Result<(), Reject> {
        loop {
            if clock_ms() >= deadline_ms {
                return Err(SLOW);
            }
            match self.fill() {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(_) => return Err(CLIENT_DEPARTED),
            }
        }
    }

    /// Reads exactly so many bytes.
    ///
    /// # Errors
    /// It is too late, or the client left.
    pub fn read_exact(
        &mut self,
        length: usize,
        into: &mut Vec<u8>,
        deadline_ms: u64,
    ) -> Result<(), Reject> {
        let mut left = length;
        loop {
            let ready = left.min(self.buffered().len());
            into.extend_from_slice(&self.buffered()[..ready]);
            self.consume(ready);
            left -= ready;
            if left == 0 {
                return Ok(());
            }
            self.read_more(deadline_ms)?;
        }
    }

    /// Tells when the client leaves, without taking a byte.
    pub fn watch(&self) -> ClientWatch<'_> {
        ClientWatch::new(&self.stream)
    }

    /// Tells a client that waits for it to send its body.
    ///
    /// # Errors
    /// The client left.
    pub fn send_continue(&mut self) -> std::io::Result<()> {
        self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
    }

    /// Writes a whole response; its length is always told, so a cut one never looks whole.
    ///
    /// # Errors
    /// The client left, or takes its response too slowly.
    pub fn write(
        &mut self,
        response: &TargetResponse,
        method: &str,
        close: bool,
    ) -> std::io::Result<()> {
        let mut out = Vec::with_capacity(1_024);
        write!(out, "HTTP/1.1 {} {}\r\n", response.status, reason(response.status))?;
        let mut told = None;
        for (name, value) in &response.headers {
            if name.eq_ignore_ascii_case("content-length") {
                told = Some(value.clone());
            }
        }
        for (name, value) in end_to_end_headers(&response.headers) {
            write!(out, "{name}: {value}\r\n")?;
        }
        let bodiless = matches!(response.status, 100..=199 | 204 | 304);
        if method == "HEAD" || response.status == 304 {
            if let Some(length) = told {
                write!(out, "Content-Length: {length}\r\n")?;
            }
        } else if !bodiless {
            write!(out, "Content-Length: {}\r\n", response.body.len())?;
        }
        if close {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        if method != "HEAD" && !bodiless {
            if out.len() + response.body.len() <= WRITE_BYTES {
                out.extend_from_slice(&response.body);
            } else {
                self.write_slowly(&out, response.body.len())?;
                return self.write_slowly(&response.body, response.body.len());
            }
        }
        self.stream.write_all(&out)
    }

    /// A client that takes its response too slowly loses it, and gives back its memory.
    fn write_slowly(&mut self, bytes: &[u8], whole_bytes: usize) -> std::io::Result<()> {
        let until_ms =
            clock_ms() + DOWNSTREAM_WRITE_MS + whole_bytes as u64 / DOWNSTREAM_BYTES_PER_MS;
        for part in bytes.chunks(WRITE_BYTES) {
            if clock_ms() >= until_ms {
                return Err(ErrorKind::TimedOut.into());
            }
            self.stream.write_all(part)?;
        }
        Ok(())
    }

    /// Lets a client that still sends read its refusal before the connection goes.
    pub fn linger(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
        let until_ms = clock_ms() + 2 * PEER_CLOSED_CHECK_MS;
        let mut part = [0; READ_BYTES];
        while clock_ms() < until_ms {
            match self.stream.read(&mut part) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}

fn reason(status: u16) -> &'static str {
    http::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Status")
}
