//! Reads request bodies completely, within size, memory and time limits (RFC 9112, sections 6 and
//! 7.1).

use crate::connection::Connection;
use crate::head::BodyFraming;
use crate::memory_budget::{MemoryBudget, Reservation};
use crate::reject::BAD_CHUNK;
pub use crate::reject::{CLIENT_DEPARTED, OUT_OF_MEMORY, Reject, TOO_LARGE};
use postbarrow_constants::traffic::CHUNK_LINE_BYTES;
use std::sync::Arc;

/// A complete request body; its memory reservation is released when it is dropped.
pub struct Body {
    /// The content, with any chunk framing removed.
    pub bytes: Vec<u8>,
    _reservation: Reservation,
}

/// Reads the complete body of a request. The body may have at most `max_bytes`, must fit into the
/// memory budget, and must be complete by `deadline_ms` of the boot-time clock. A body that ends
/// early is an error; it is never returned as a shorter body.
///
/// # Errors
/// Returns the status and reason to reject the request with, or `CLIENT_DEPARTED`.
pub fn read(
    connection: &mut Connection,
    framing: BodyFraming,
    max_bytes: u64,
    memory: &Arc<MemoryBudget>,
    deadline_ms: u64,
) -> Result<Body, Reject> {
    let reservation = memory.reserve(0).ok_or(OUT_OF_MEMORY)?;
    let mut reader =
        BodyReader { connection, max_bytes, reservation, bytes: Vec::new(), deadline_ms };
    match framing {
        BodyFraming::None => {}
        BodyFraming::Sized(size_bytes) => reader.read_bytes(size_bytes)?,
        BodyFraming::Chunked => reader.read_chunks()?,
    }
    Ok(Body { bytes: reader.bytes, _reservation: reader.reservation })
}

struct BodyReader<'c> {
    connection: &'c mut Connection,
    max_bytes: u64,
    reservation: Reservation,
    bytes: Vec<u8>,
    deadline_ms: u64,
}

impl BodyReader<'_> {
    /// Reads `size_bytes` bytes of content and appends them to the body.
    fn read_bytes(&mut self, size_bytes: u64) -> Result<(), Reject> {
        if size_bytes > self.max_bytes.saturating_sub(self.bytes.len() as u64) {
            return Err(TOO_LARGE);
        }
        if !self.reservation.grow(size_bytes) {
            return Err(OUT_OF_MEMORY);
        }
        self.connection.read_exact(size_bytes as usize, &mut self.bytes, self.deadline_ms)
    }

    fn read_chunks(&mut self) -> Result<(), Reject> {
        loop {
            let size_bytes = self.read_chunk_size()?;
            if size_bytes == 0 {
                return self.skip_trailers();
            }
            self.read_bytes(size_bytes)?;
            let mut end = Vec::new();
            self.connection.read_exact(2, &mut end, self.deadline_ms)?;
            if end != b"\r\n" {
                return Err(BAD_CHUNK);
            }
        }
    }

    fn read_chunk_size(&mut self) -> Result<u64, Reject> {
        loop {
            let buffered = self.connection.buffered();
            match httparse::parse_chunk_size(buffered) {
                Ok(httparse::Status::Complete((line_bytes, size_bytes))) => {
                    self.connection.consume(line_bytes);
                    return Ok(size_bytes);
                }
                Ok(httparse::Status::Partial) if buffered.len() < CHUNK_LINE_BYTES => {
                    self.connection.read_more(self.deadline_ms)?;
                }
                _ => return Err(BAD_CHUNK),
            }
        }
    }

    /// Reads and discards the trailer fields, as RFC 9112, 7.1.2 permits.
    fn skip_trailers(&mut self) -> Result<(), Reject> {
        let mut skipped_bytes = 0;
        loop {
            let buffered = self.connection.buffered();
            match buffered.windows(2).position(|pair| pair == b"\r\n") {
                Some(0) => {
                    self.connection.consume(2);
                    return Ok(());
                }
                Some(line_bytes) => {
                    self.connection.consume(line_bytes + 2);
                    skipped_bytes += line_bytes + 2;
                }
                None => self.connection.read_more(self.deadline_ms)?,
            }
            if skipped_bytes + self.connection.buffered().len() > 8 * CHUNK_LINE_BYTES {
                return Err(BAD_CHUNK);
            }
        }
    }
}
