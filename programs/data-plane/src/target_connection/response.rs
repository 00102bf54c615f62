//! Reading one response, byte by byte, from a connection to a target.

use super::{Interrupted, Outgoing, TargetConnection};
use crate::answer::{self, Parsed, Size};
use postbarrow_constants::traffic::*;
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::memory_budget::Reserved;
use postbarrow_node::TargetResponse;
use postbarrow_transport::Interest;
use std::io::{ErrorKind, Read};

impl TargetConnection {
    /// Reads at least one byte more.
    fn more(&mut self, until_ms: u64, client: &ClientWatch) -> Result<(), Interrupted> {
        loop {
            self.wait(Interest::Read, until_ms, client)?;
            let had = self.buffer.len();
            self.buffer.resize(had + READ_BYTES, 0);
            let read = self.stream.read(&mut self.buffer[had..]);
            self.buffer.truncate(had + read.as_ref().map_or(0, |length| *length));
            match read {
                Ok(0) => return Err(Interrupted::Failed("closed before the end".into())),
                Ok(_) => return Ok(()),
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock | ErrorKind::Interrupted => {}
                    _ => return Err(Interrupted::Failed(error.to_string())),
                },
            }
        }
    }

    /// One whole response, and whether the target keeps the connection open after it.
    pub(super) fn read(
        &mut self,
        request: &Outgoing<'_>,
        client: &ClientWatch,
        memory: &mut Reserved,
    ) -> Result<(TargetResponse, bool), Interrupted> {
        let parsed = self.read_head(request, client)?;
        let mut response = parsed.response;
        response.body = match parsed.size {
            Size::Bytes(size) => self.read_sized(size, request.until_ms, client, memory)?,
            Size::Chunks => self.read_chunks(request.until_ms, client, memory)?,
        };
        Ok((response, parsed.again))
    }

    /// The head of a final response; interim ones are passed over.
    fn read_head(
        &mut self,
        request: &Outgoing<'_>,
        client: &ClientWatch,
    ) -> Result<Parsed, Interrupted> {
        loop {
            let rest = &self.buffer[self.start..];
            match answer::parse(rest, request.method).map_err(Interrupted::Failed)? {
                None if rest.len() > HEAD_BYTES => {
                    return Err(Interrupted::Failed("its head is too large".into()));
                }
                None => self.more(request.until_ms, client)?,
                Some(parsed) => {
                    self.start += parsed.length;
                    self.keep_ms = parsed.keep_ms.unwrap_or(self.keep_ms);
                    if parsed.response.status >= FIRST_FINAL_STATUS {
                        return Ok(parsed);
                    }
                }
            }
        }
    }

    fn read_sized(
        &mut self,
        size: usize,
        until_ms: u64,
        client: &ClientWatch,
        memory: &mut Reserved,
    ) -> Result<Vec<u8>, Interrupted> {
        if size > RESPONSE_BYTES || !memory.grow(size as u64) {
            return Err(no_space());
        }
        self.buffer.reserve(size.saturating_sub(self.buffer.len() - self.start));
        while self.buffer.len() - self.start < size {
            self.more(until_ms, client)?;
        }
        let body = self.buffer[self.start..self.start + size].to_vec();
        self.start += size;
        Ok(body)
    }

    fn read_chunks(
        &mut self,
        until_ms: u64,
        client: &ClientWatch,
        memory: &mut Reserved,
    ) -> Result<Vec<u8>, Interrupted> {
        let mut body = Vec::new();
        loop {
            let rest = &self.buffer[self.start..];
            let Some((used, part)) = answer::chunk(rest).map_err(Interrupted::Failed)? else {
                self.more(until_ms, client)?;
                continue;
            };
            if !memory.grow(part.len() as u64) || body.len() + part.len() > RESPONSE_BYTES {
                return Err(no_space());
            }
            let is_last = part.is_empty();
            body.extend_from_slice(&rest[part]);
            self.start += used;
            if is_last {
                return Ok(body);
            }
        }
    }
}

fn no_space() -> Interrupted {
    Interrupted::Failed("this node has no space for it".into())
}
