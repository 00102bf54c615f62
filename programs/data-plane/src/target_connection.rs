//! A connection to a target, which carries one request at a time.
//!
//! `open` establishes the connection, `send` sends a request, `receive` reads its response, and
//! `identify` verifies that the process at the address is the expected target.

mod identify;
mod open;
mod receive;
mod send;

pub use receive::ExpectedResponse;
pub use send::OutgoingRequest;

use crate::dialect::ResponseJudgement;
use crate::error::{Result, UpstreamError};
use postbarrow_downstream::client_watch::{ClientWatch, WaitOutcome};
use postbarrow_downstream::memory_budget::Reservation;
use postbarrow_node::{AttemptOutcome, TargetResponse};
use postbarrow_transport::{Interest, clock_ms};
use std::io::ErrorKind;
use std::net::TcpStream;

/// A connection to a target. Bytes are parsed from a buffer, so that bytes beyond the response are
/// detected. A wait on the connection ends early if the client of its request departs, within the
/// request's [`CancelScope`].
pub struct TargetConnection {
    /// The socket, in non-blocking mode.
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Number of bytes at the start of `buffer` that are already consumed.
    start: usize,
    /// How long sent bytes may stay unacknowledged, in milliseconds; 0 is the system's default.
    unacknowledged_limit_ms: u64,
    /// Whether no response was read on the connection yet.
    awaits_first_response: bool,
    /// The time of the last use, in milliseconds of the boot-time clock.
    last_used_ms: u64,
    /// How long the connection may stay idle before it is no longer reused, in milliseconds.
    idle_limit_ms: u64,
}

/// The part of an exchange during which the departure of the client cancels the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelScope {
    /// Until the response is complete, because the request may be repeated.
    Always,
    /// Until the last byte of the request is sent, because the target may run it from then on.
    UntilSent,
    /// Never, because a repeat with the same key gets the outcome of this request.
    Never,
}

/// The client whose departure cancels a request, and the scope within which it does so.
pub struct Cancellation<'a> {
    client: &'a ClientWatch<'a>,
    no_client: ClientWatch<'static>,
    scope: CancelScope,
}

impl<'a> Cancellation<'a> {
    /// Returns a cancellation by the departure of this client within this scope.
    pub fn new(client: &'a ClientWatch<'a>, scope: CancelScope) -> Cancellation<'a> {
        Cancellation { client, no_client: ClientWatch::without_client(), scope }
    }

    /// Returns the watch to use while the request is sent.
    fn while_sending(&self) -> &ClientWatch<'_> {
        match self.scope {
            CancelScope::Never => &self.no_client,
            CancelScope::Always | CancelScope::UntilSent => self.client,
        }
    }

    /// Returns the watch to use while the response is received.
    fn while_receiving(&self) -> &ClientWatch<'_> {
        match self.scope {
            CancelScope::Always => self.client,
            CancelScope::UntilSent | CancelScope::Never => &self.no_client,
        }
    }
}

/// A function that decides what a response proves about its request; its second argument is true
/// for the first response on a connection.
pub type Judge<'a> = &'a dyn Fn(&TargetResponse, bool) -> ResponseJudgement;

/// The conditions of one exchange: of sending a request and receiving its response.
pub struct ExchangeTerms<'a> {
    /// The final check, evaluated once, directly before the first byte is sent.
    pub may_send: &'a dyn Fn() -> bool,
    /// The client whose departure cancels the exchange, and its scope.
    pub cancellation: Cancellation<'a>,
    /// Decides what a response proves about the request.
    pub judge: Judge<'a>,
}

impl TargetConnection {
    /// Returns whether the connection can carry another request: no bytes arrived while it was
    /// idle, the target has not closed it, and it has not been idle for longer than its limit.
    pub fn is_reusable(&self) -> bool {
        let peeked = self.stream.peek(&mut [0]);
        let has_no_input = peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        has_no_input && clock_ms() < self.last_used_ms + self.idle_limit_ms
    }

    /// Sends a request and receives its response. Returns the outcome, and whether the connection
    /// can be reused.
    pub fn exchange(
        &mut self,
        request: &OutgoingRequest<'_>,
        terms: &ExchangeTerms<'_>,
        memory: &mut Reservation,
    ) -> (AttemptOutcome, bool) {
        if let Err(outcome) = self.send(request, terms.may_send, &terms.cancellation) {
            return (outcome, false);
        }
        let expected = ExpectedResponse {
            method: request.method,
            until_ms: request.until_ms,
            judge: terms.judge,
        };
        self.receive(&expected, &terms.cancellation, memory)
    }

    /// Waits until the connection is ready, by `until_ms` of the boot-time clock, unless the client
    /// departs.
    fn wait(&self, interest: Interest, until_ms: u64, client: &ClientWatch) -> Result<()> {
        match client.wait_for(&self.stream, interest, until_ms)? {
            WaitOutcome::Ready => Ok(()),
            WaitOutcome::ClientDeparted => Err(UpstreamError::ClientDeparted),
            WaitOutcome::TimedOut => Err(UpstreamError::DeadlinePassed),
        }
    }
}
