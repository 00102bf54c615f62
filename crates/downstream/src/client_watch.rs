//! Detects that the client of a request has departed while the request is being processed.

use postbarrow_constants::traffic::CLIENT_CLOSED_CHECK_MS;
use postbarrow_transport::{Interest, Readiness, clock_ms, poll};
use std::cell::Cell;
use std::net::TcpStream;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// Observes whether the client of one request has departed, that is, has closed its side of the
/// connection or lost the connection. A client that closes only its sending side counts as departed
/// as well, since nothing on the wire distinguishes the two cases before bytes are sent to it.
#[derive(Debug)]
pub struct ClientWatch<'a> {
    /// The client's connection; `None` for work that has no client.
    stream: Option<&'a TcpStream>,
    departed: Cell<bool>,
    /// Whether bytes of the client's next request are unread. The socket then stays readable, so
    /// that readability no longer indicates an end of file.
    has_unread: Cell<bool>,
}

/// The result of waiting for a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The socket that was waited for is ready.
    Ready,
    /// The client has departed; the socket that was waited for may be ready as well.
    ClientDeparted,
    /// The deadline passed before the socket was ready.
    TimedOut,
}

/// The reason why no message was received from a channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReceiveError {
    /// The client departed before a message was received.
    #[error("the client departed before a message was received")]
    ClientDeparted,
    /// The deadline passed before a message was received.
    #[error("no message was received before the deadline")]
    TimedOut,
    /// All senders of the channel were dropped.
    #[error("all senders of the channel were dropped")]
    Disconnected,
}

impl<'a> ClientWatch<'a> {
    /// Returns a watch of the connection that the request was received on.
    pub fn new(stream: &'a TcpStream) -> ClientWatch<'a> {
        ClientWatch {
            stream: Some(stream),
            departed: Cell::new(false),
            has_unread: Cell::new(false),
        }
    }

    /// Returns a watch without a client, for work that no client's departure may cancel; it never
    /// reports a departure.
    pub fn without_client() -> ClientWatch<'static> {
        ClientWatch { stream: None, departed: Cell::new(false), has_unread: Cell::new(false) }
    }

    /// Returns whether an earlier check observed the departure; does not check again.
    pub fn is_known_departed(&self) -> bool {
        self.departed.get()
    }

    /// Checks the connection now and returns whether the client has departed.
    pub fn has_departed(&self) -> bool {
        if let Some(stream) = self.stream.filter(|_| !self.departed.get()) {
            let found = poll([(stream, self.interest())], 0);
            let hung_up = found.map_or(true, |[client]| self.is_hung_up(stream, client));
            self.departed.set(hung_up);
        }
        self.departed.get()
    }

    /// Waits until the socket `other` is ready, `until_ms` of the boot-time clock has passed, or
    /// the client departs.
    ///
    /// # Errors
    /// Returns the error of poll(2).
    pub fn wait_for(
        &self,
        other: &TcpStream,
        interest: Interest,
        until_ms: u64,
    ) -> std::io::Result<WaitOutcome> {
        loop {
            if self.departed.get() {
                return Ok(WaitOutcome::ClientDeparted);
            }
            let wait_ms = until_ms.saturating_sub(clock_ms());
            let is_ready = match self.stream {
                None => poll([(other, interest)], wait_ms)?[0].is_ready(),
                Some(stream) => {
                    let sockets = [(other, interest), (stream, self.interest())];
                    let [other, client] = poll(sockets, wait_ms)?;
                    self.departed.set(self.is_hung_up(stream, client));
                    other.is_ready()
                }
            };
            if self.departed.get() {
                return Ok(WaitOutcome::ClientDeparted);
            }
            if is_ready {
                return Ok(WaitOutcome::Ready);
            }
            if clock_ms() >= until_ms {
                return Ok(WaitOutcome::TimedOut);
            }
        }
    }

    /// Waits for a message from another thread until `until_ms` of the boot-time clock. Checks
    /// every `CLIENT_CLOSED_CHECK_MS` whether the client has departed, and returns early if so.
    ///
    /// # Errors
    /// Returns the reason why no message was received.
    pub fn receive<T>(&self, messages: &Receiver<T>, until_ms: u64) -> Result<T, ReceiveError> {
        loop {
            let remaining_ms = until_ms.saturating_sub(clock_ms());
            let wait_ms = if self.stream.is_some() {
                remaining_ms.min(CLIENT_CLOSED_CHECK_MS)
            } else {
                remaining_ms
            };
            match messages.recv_timeout(Duration::from_millis(wait_ms)) {
                Ok(message) => return Ok(message),
                Err(RecvTimeoutError::Disconnected) => return Err(ReceiveError::Disconnected),
                Err(RecvTimeoutError::Timeout) if self.has_departed() => {
                    return Err(ReceiveError::ClientDeparted);
                }
                Err(RecvTimeoutError::Timeout) if clock_ms() >= until_ms => {
                    return Err(ReceiveError::TimedOut);
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    /// Returns what to poll the client's socket for. Polls for readability until there are unread
    /// bytes, because a system that does not report a hangup reports a readable end of file
    /// instead.
    fn interest(&self) -> Interest {
        if self.has_unread.get() { Interest::Hangup } else { Interest::Read }
    }

    /// Returns whether the client closed its side or lost the connection, by the result of a poll
    /// and, if the socket is readable, by a peek.
    fn is_hung_up(&self, stream: &TcpStream, client: Readiness) -> bool {
        if client.is_hung_up() {
            return true;
        }
        if !client.is_readable() {
            return false;
        }
        match stream.peek(&mut [0]) {
            Ok(0) => true,
            Ok(_) => {
                self.has_unread.set(true);
                false
            }
            Err(error) => !matches!(
                error.kind(),
                std::io::ErrorKind::WouldBlock
                    | std::io::ErrorKind::TimedOut
                    | std::io::ErrorKind::Interrupted
            ),
        }
    }
}

#[cfg(test)]
mod tests;
