//! Receives the response to a request from a target.

use super::{Cancellation, Judge, TargetConnection};
use crate::dialect::ResponseJudgement;
use crate::error::{Result, UpstreamError};
use crate::response_parser::{BodyFraming, ResponseHead, parse_chunk, parse_head};
use postbarrow_constants::traffic::*;
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::memory_budget::Reservation;
use postbarrow_node::{AttemptOutcome, TargetResponse};
use postbarrow_transport::{Interest, clock_ms};
use std::io::{ErrorKind, Read};

/// The response that a request expects.
pub struct ExpectedResponse<'a> {
    /// The request's method; a response to HEAD has no body.
    pub method: &'a str,
    /// The time by which the response must be complete, in milliseconds of the boot-time clock.
    pub until_ms: u64,
    /// Decides what a response proves about the request.
    pub judge: Judge<'a>,
}

impl TargetConnection {
    /// Receives responses and skips those that belong to an earlier request. Returns the outcome of
    /// the attempt, and whether the connection can be reused.
    pub fn receive(
        &mut self,
        expected: &ExpectedResponse<'_>,
        cancellation: &Cancellation<'_>,
        memory: &mut Reservation,
    ) -> (AttemptOutcome, bool) {
        let client = cancellation.while_receiving();
        loop {
            let (response, is_persistent) = match self.receive_one(expected, client, memory) {
                Ok(received) => received,
                Err(error) => {
                    let timed_out = matches!(error, UpstreamError::DeadlinePassed);
                    let reason = error.during("reading");
                    return (AttemptOutcome::Unknown { timed_out, reason }, false);
                }
            };
            let judgement = (expected.judge)(&response, self.awaits_first_response);
            self.awaits_first_response = false;
            let outcome = match judgement {
                ResponseJudgement::Misdirected if is_persistent => continue,
                ResponseJudgement::Misdirected => {
                    AttemptOutcome::Unknown { timed_out: false, reason: "another's".into() }
                }
                ResponseJudgement::Invalid(reason) => {
                    return (AttemptOutcome::Unknown { timed_out: false, reason }, false);
                }
                ResponseJudgement::NotRun(reason) => AttemptOutcome::NotRun(reason),
                ResponseJudgement::Complete => AttemptOutcome::Complete(response),
            };
            let is_reusable = is_persistent && self.start == self.buffer.len();
            self.become_idle();
            return (outcome, is_reusable);
        }
    }

    /// Records the time of the last use and discards the buffer, before the connection becomes
    /// idle.
    fn become_idle(&mut self) {
        self.last_used_ms = clock_ms();
        self.buffer = Vec::new();
        self.start = 0;
    }

    /// Receives one complete response. Also returns whether the target keeps the connection open
    /// after it.
    fn receive_one(
        &mut self,
        expected: &ExpectedResponse<'_>,
        client: &ClientWatch,
        memory: &mut Reservation,
    ) -> Result<(TargetResponse, bool)> {
        let head = self.receive_head(expected, client)?;
        let mut response = head.response;
        response.body = match head.framing {
            BodyFraming::Sized(size) => {
                self.receive_sized(size, expected.until_ms, client, memory)?
            }
            BodyFraming::Chunked => self.receive_chunks(expected.until_ms, client, memory)?,
        };
        Ok((response, head.is_persistent))
    }

    /// Receives the head of a final response; skips interim responses (RFC 9110, section 15.2).
    fn receive_head(
        &mut self,
        expected: &ExpectedResponse<'_>,
        client: &ClientWatch,
    ) -> Result<ResponseHead> {
        loop {
            let rest = &self.buffer[self.start..];
            match parse_head(rest, expected.method)? {
                None if rest.len() > HEAD_BYTES => return Err(UpstreamError::HeadTooLarge),
                None => self.receive_more(expected.until_ms, client)?,
                Some(head) => {
                    self.start += head.length;
                    self.idle_limit_ms = head.idle_limit_ms.unwrap_or(self.idle_limit_ms);
                    if head.response.status >= FIRST_FINAL_STATUS {
                        return Ok(head);
                    }
                }
            }
        }
    }

    fn receive_sized(
        &mut self,
        size: usize,
        until_ms: u64,
        client: &ClientWatch,
        memory: &mut Reservation,
    ) -> Result<Vec<u8>> {
        if size > RESPONSE_BYTES || !memory.grow(size as u64) {
            return Err(UpstreamError::OutOfMemory);
        }
        self.buffer.reserve(size.saturating_sub(self.buffer.len() - self.start));
        while self.buffer.len() - self.start < size {
            self.receive_more(until_ms, client)?;
        }
        let body = self.buffer[self.start..self.start + size].to_vec();
        self.start += size;
        Ok(body)
    }

    fn receive_chunks(
        &mut self,
        until_ms: u64,
        client: &ClientWatch,
        memory: &mut Reservation,
    ) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let rest = &self.buffer[self.start..];
            let Some((length, data)) = parse_chunk(rest)? else {
                self.receive_more(until_ms, client)?;
                continue;
            };
            if !memory.grow(data.len() as u64) || body.len() + data.len() > RESPONSE_BYTES {
                return Err(UpstreamError::OutOfMemory);
            }
            let is_last = data.is_empty();
            body.extend_from_slice(&rest[data]);
            self.start += length;
            if is_last {
                return Ok(body);
            }
        }
    }

    /// Reads at least one more byte into the buffer, by `until_ms` of the boot-time clock.
    fn receive_more(&mut self, until_ms: u64, client: &ClientWatch) -> Result<()> {
        loop {
            self.wait(Interest::Read, until_ms, client)?;
            let before = self.buffer.len();
            self.buffer.resize(before + READ_BYTES, 0);
            let read = self.stream.read(&mut self.buffer[before..]);
            self.buffer.truncate(before + read.as_ref().map_or(0, |length| *length));
            match read {
                Ok(0) => return Err(UpstreamError::Truncated),
                Ok(_) => return Ok(()),
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock | ErrorKind::Interrupted => {}
                    _ => return Err(error.into()),
                },
            }
        }
    }
}
