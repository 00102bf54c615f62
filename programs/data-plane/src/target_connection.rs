//! One connection to a target, which carries one request at a time.
//!
//! `open` establishes it, `send` sends a request, `receive` reads its response, and `identify`
//! verifies whose process the target is.

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

/// A connection to a target. It is read byte by byte, so that bytes beyond the response are noticed,
/// and every wait on it ends when the client of its request departs.
pub struct TargetConnection {
    /// Non-blocking.
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Bytes of the buffer that are consumed.
    start: usize,
    /// How long sent bytes may stay unacknowledged; 0 is the system's default.
    unacknowledged_limit_ms: u64,
    /// No response was read on it yet.
    first: bool,
    used_ms: u64,
    /// How long it may stay idle.
    idle_limit_ms: u64,
}

/// For how long the departure of its client cancels a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelScope {
    /// Up to its response: it may be repeated.
    Always,
    /// Until its last byte is sent: from then on its target may be running it.
    UntilSent,
    /// Never: a repeat under its key gets its outcome.
    Never,
}

/// The client whose departure cancels a request, for as long as the scope says.
pub struct Cancellation<'a> {
    client: &'a ClientWatch<'a>,
    nobody: ClientWatch<'static>,
    scope: CancelScope,
}

impl<'a> Cancellation<'a> {
    /// The departure of this client cancels within this scope.
    pub fn new(client: &'a ClientWatch<'a>, scope: CancelScope) -> Cancellation<'a> {
        Cancellation { client, nobody: ClientWatch::nobody(), scope }
    }

    fn while_sending(&self) -> &ClientWatch<'_> {
        match self.scope {
            CancelScope::Never => &self.nobody,
            CancelScope::Always | CancelScope::UntilSent => self.client,
        }
    }

    fn while_receiving(&self) -> &ClientWatch<'_> {
        match self.scope {
            CancelScope::Always => self.client,
            CancelScope::UntilSent | CancelScope::Never => &self.nobody,
        }
    }
}

/// Decides what a response proves; the second value says whether it is the connection's first.
pub type Judge<'a> = &'a dyn Fn(&TargetResponse, bool) -> ResponseJudgement;

/// The conditions of one exchange.
pub struct ExchangeTerms<'a> {
    /// The final check, evaluated once, right before the first byte.
    pub may_send: &'a dyn Fn() -> bool,
    /// Whose departure cancels the exchange.
    pub cancellation: Cancellation<'a>,
    /// What a response proves.
    pub judge: Judge<'a>,
}

impl TargetConnection {
    /// Whether nothing arrived on it while idle, the target has not closed it, and it has not been
    /// idle for too long.
    pub fn is_reusable(&self) -> bool {
        let peeked = self.stream.peek(&mut [0]);
        let is_quiet = peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        is_quiet && clock_ms() < self.used_ms + self.idle_limit_ms
    }

    /// Sends a request and receives its response; also returns whether the connection may be used
    /// again.
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

    fn wait(&self, interest: Interest, until_ms: u64, client: &ClientWatch) -> Result<()> {
        match client.wait_for(&self.stream, interest, until_ms)? {
            WaitOutcome::Ready => Ok(()),
            WaitOutcome::ClientDeparted => Err(UpstreamError::ClientDeparted),
            WaitOutcome::TimedOut => Err(UpstreamError::DeadlinePassed),
        }
    }
}
