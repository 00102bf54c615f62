//! Whether the client of a request still waits for its response.

use postbarrow_constants::traffic::CLIENT_CLOSED_CHECK_MS;
use postbarrow_transport::{Interest, Readiness, clock_ms, poll};
use std::cell::Cell;
use std::net::TcpStream;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// Observes whether the client of one request has departed: it closed its side of the connection, or
/// the connection broke. A client that closes only its sending side counts as departed as well,
/// since nothing on the wire distinguishes the two before bytes are sent to it.
#[derive(Debug)]
pub struct ClientWatch<'a> {
    /// None: there is no client that could depart.
    stream: Option<&'a TcpStream>,
    departed: Cell<bool>,
    /// Bytes of the client's next request are unread, so that readability has no more to say.
    has_unread: Cell<bool>,
}

/// What ended a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The other socket is ready.
    Ready,
    /// The client has departed, whether or not the socket is ready as well.
    ClientDeparted,
    /// The deadline has passed.
    TimedOut,
}

/// Why nothing was received on a channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReceiveError {
    /// The client departed meanwhile.
    #[error("the client departed")]
    ClientDeparted,
    /// The deadline has passed.
    #[error("the deadline has passed")]
    TimedOut,
    /// All senders are gone.
    #[error("all senders are gone")]
    Disconnected,
}

impl<'a> ClientWatch<'a> {
    /// Watches the connection that the request was received on.
    pub fn new(stream: &'a TcpStream) -> ClientWatch<'a> {
        ClientWatch {
            stream: Some(stream),
            departed: Cell::new(false),
            has_unread: Cell::new(false),
        }
    }

    /// For work that no client's departure ends.
    pub fn nobody() -> ClientWatch<'static> {
        ClientWatch { stream: None, departed: Cell::new(false), has_unread: Cell::new(false) }
    }

    /// Whether an earlier check observed the departure.
    pub fn is_known_departed(&self) -> bool {
        self.departed.get()
    }

    /// Checks whether the client has departed by now.
    pub fn has_departed(&self) -> bool {
        if let Some(stream) = self.stream.filter(|_| !self.departed.get()) {
            let found = poll([(stream, self.interest())], 0);
            let hung_up = found.map_or(true, |[client]| self.is_hung_up(stream, client));
            self.departed.set(hung_up);
        }
        self.departed.get()
    }

    /// Waits for another socket until a moment of the boot-time clock, or until the client departs.
    ///
    /// # Errors
    /// The system refuses to wait.
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

    /// Waits for a message of another thread until a moment of the boot-time clock, or until a check,
    /// one every `CLIENT_CLOSED_CHECK_MS`, observes the client's departure.
    ///
    /// # Errors
    /// Why no message was received.
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

    /// Includes readability until there are unread bytes: a system that does not report a hangup by
    /// itself reports an end of file that can be read.
    fn interest(&self) -> Interest {
        if self.has_unread.get() { Interest::Hangup } else { Interest::Read }
    }

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
