//! Whether the client of a request still waits for its response.

use postbarrow_constants::traffic::CLIENT_CLOSED_CHECK_MS;
use postbarrow_transport::{Interest, Readiness, clock_ms, poll};
use std::cell::Cell;
use std::net::TcpStream;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// Tells when the client of one request has left: it closed its side of the connection, or the
/// connection broke. A client that closes only its sending side counts as left as well, for nothing
/// on the wire tells the two apart before bytes are sent to it.
#[derive(Debug)]
pub struct ClientWatch<'a> {
    /// None: nobody who could leave.
    stream: Option<&'a TcpStream>,
    departed: Cell<bool>,
    /// Bytes of the client's next request wait, so that more to read says nothing new.
    has_unread: Cell<bool>,
}

/// What ended a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The socket that was waited for is ready.
    Ready,
    /// The client has left, whether or not the socket is ready as well.
    ClientDeparted,
    /// The time is over.
    TimedOut,
}

/// Why nothing was received on a channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveError {
    /// The client left meanwhile.
    ClientDeparted,
    /// The time is over.
    TimedOut,
    /// Nobody is left to send.
    Disconnected,
}

impl<'a> ClientWatch<'a> {
    /// Watches the connection that the request came on.
    pub fn new(stream: &'a TcpStream) -> ClientWatch<'a> {
        ClientWatch {
            stream: Some(stream),
            departed: Cell::new(false),
            has_unread: Cell::new(false),
        }
    }

    /// For work that goes on whoever leaves.
    pub fn nobody() -> ClientWatch<'static> {
        ClientWatch { stream: None, departed: Cell::new(false), has_unread: Cell::new(false) }
    }

    /// Whether an earlier look saw that the client has left.
    pub fn is_known_departed(&self) -> bool {
        self.departed.get()
    }

    /// Looks whether the client has left by now.
    pub fn has_departed(&self) -> bool {
        if let Some(stream) = self.stream.filter(|_| !self.departed.get()) {
            let found = poll([(stream, self.interest())], 0);
            let hung_up = found.map_or(true, |[client]| self.is_hung_up(stream, client));
            self.departed.set(hung_up);
        }
        self.departed.get()
    }

    /// Waits for another socket until a moment of the boot-time clock, or until the client leaves.
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

    /// Waits for a message of another thread until a moment of the boot-time clock, or until a look,
    /// one every `CLIENT_CLOSED_CHECK_MS`, sees that the client left.
    ///
    /// # Errors
    /// What came instead of a message.
    pub fn receive<T>(&self, messages: &Receiver<T>, until_ms: u64) -> Result<T, ReceiveError> {
        loop {
            let left_ms = until_ms.saturating_sub(clock_ms());
            let wait_ms =
                if self.stream.is_some() { left_ms.min(CLIENT_CLOSED_CHECK_MS) } else { left_ms };
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

    /// Bytes to read are asked for as well, until some wait: a system that does not tell a hangup
    /// by itself tells it as an end that can be read.
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
