//! Sends one request to a target.

use super::{Cancellation, TargetConnection};
use crate::error::{Result, UpstreamError};
use postbarrow_constants::traffic::*;
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_node::AttemptOutcome;
use postbarrow_transport::{Interest, set_unacknowledged_timeout};
use socket2::SockRef;
use std::io::{ErrorKind, Write};
use std::result;
use std::time::Duration;

/// A request as it is sent to a target.
pub struct OutgoingRequest<'a> {
    /// The method of the request.
    pub method: &'a str,
    /// The path and query, as the client sent them.
    pub path: &'a str,
    /// The headers to send, without `Content-Length`, which is computed.
    pub headers: &'a [(String, String)],
    /// The complete body, empty if the request has none.
    pub body: &'a [u8],
    /// The time by which the response must be complete, in milliseconds of the boot-time clock.
    pub until_ms: u64,
    /// Whether the request may be retried at another target. If so, the connection fails once the
    /// target's machine acknowledges no bytes for `TARGET_UNRESPONSIVE_MS`.
    pub repeatable: bool,
}

impl TargetConnection {
    /// Sends a request if `may_send`, evaluated directly before the first byte, returns true.
    ///
    /// # Errors
    /// Returns the outcome of the attempt; the connection can't be reused.
    pub fn send(
        &mut self,
        request: &OutgoingRequest<'_>,
        may_send: &dyn Fn() -> bool,
        cancellation: &Cancellation<'_>,
    ) -> result::Result<(), AttemptOutcome> {
        let bytes = encode(request);
        self.limit_unacknowledged(request.repeatable);
        if !may_send() {
            return Err(AttemptOutcome::Unsent("no longer allowed".into()));
        }
        let client = cancellation.while_sending();
        self.write(&bytes, request.until_ms, client).map_err(|(sent_bytes, error)| {
            if matches!(error, UpstreamError::ClientDeparted) {
                self.discard_unsent();
            }
            let reason = error.during("sending");
            match sent_bytes {
                0 => AttemptOutcome::Unsent(reason),
                _ => AttemptOutcome::Unknown { timed_out: false, reason },
            }
        })
    }

    /// Discards the bytes of a request that the system still buffers: the connection will be closed
    /// with a reset.
    fn discard_unsent(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Sets how long sent bytes may stay unacknowledged: `TARGET_UNRESPONSIVE_MS` for a repeatable
    /// request, the system's default otherwise.
    fn limit_unacknowledged(&mut self, repeatable: bool) {
        let limit_ms = if repeatable { TARGET_UNRESPONSIVE_MS } else { 0 };
        if limit_ms != self.unacknowledged_limit_ms {
            let _ = set_unacknowledged_timeout(&self.stream, limit_ms);
            self.unacknowledged_limit_ms = limit_ms;
        }
    }

    /// Writes all bytes; an error includes how many bytes the system had accepted before.
    fn write(
        &mut self,
        bytes: &[u8],
        until_ms: u64,
        client: &ClientWatch,
    ) -> result::Result<(), (usize, UpstreamError)> {
        let mut sent = 0;
        while sent < bytes.len() {
            let written: Result<()> = match self.stream.write(&bytes[sent..]) {
                Ok(0) => Err(UpstreamError::Closed),
                Ok(length) => {
                    sent += length;
                    Ok(())
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => Ok(()),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.wait(Interest::Write, until_ms, client)
                }
                Err(error) => Err(error.into()),
            };
            written.map_err(|error| (sent, error))?;
        }
        Ok(())
    }
}

/// Returns the encoded request, with a `Content-Length` computed from its body.
fn encode(request: &OutgoingRequest<'_>) -> Vec<u8> {
    let OutgoingRequest { method, path, headers, body, .. } = request;
    let mut bytes = Vec::with_capacity(HEAD_INITIAL_BYTES + body.len());
    let _ = write!(bytes, "{method} {path} HTTP/1.1\r\n");
    for (name, value) in *headers {
        let _ = write!(bytes, "{name}: {value}\r\n");
    }
    let bodiless = matches!(*method, "GET" | "HEAD" | "OPTIONS" | "DELETE");
    if !body.is_empty() || !bodiless {
        let _ = write!(bytes, "Content-Length: {}\r\n", body.len());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}
