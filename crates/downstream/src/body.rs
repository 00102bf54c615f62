//! Bodies of requests, read whole within bounds.

use crate::connection::Connection;
use crate::head::{Length, Reject};
use crate::memory_budget::{MemoryBudget, Reserved};
use postbarrow_constants::traffic::CHUNK_LINE_BYTES;
use std::sync::Arc;

/// A whole body, and the memory that it takes until it is dropped.
pub struct Body {
    /// What came, without the framing of chunks.
    pub bytes: Vec<u8>,
    _reserved: Reserved,
}

/// Takes in the whole body, within the route's bound and the node's memory. A body that ends short
/// gives an error, and is never passed on.
///
/// # Errors
/// How to refuse the request, or `CLIENT_LEFT`.
pub fn read(
    connection: &mut Connection,
    length: Length,
    most_bytes: u64,
    memory: &Arc<MemoryBudget>,
    deadline_ms: u64,
) -> Result<Body, Reject> {
    let mut reserved = memory.reserve(0).ok_or(FULL)?;
    let mut bytes = Vec::new();
    match length {
        Length::None => {}
        Length::Sized(size_bytes) => {
            if size_bytes > most_bytes {
                return Err(TOO_LARGE);
            }
            if !reserved.grow(size_bytes) {
                return Err(FULL);
            }
            connection.read_exact(size_bytes as usize, &mut bytes, deadline_ms)?;
        }
        Length::Chunked => loop {
            let size_bytes = chunk_size(connection, deadline_ms)?;
            if size_bytes == 0 {
                skip_trailers(connection, deadline_ms)?;
                break;
            }
            if size_bytes > most_bytes.saturating_sub(bytes.len() as u64) {
                return Err(TOO_LARGE);
            }
            if !reserved.grow(size_bytes) {
                return Err(FULL);
            }
            connection.read_exact(size_bytes as usize, &mut bytes, deadline_ms)?;
            let mut end = Vec::new();
            connection.read_exact(2, &mut end, deadline_ms)?;
            if end != b"\r\n" {
                return Err(BAD_CHUNK);
            }
        },
    }
    Ok(Body { bytes, _reserved: reserved })
}

/// The client closed its side or the connection broke: nobody is there to hear a refusal.
pub const CLIENT_DEPARTED: Reject = Reject { status: 0, reason: "the client left" };
/// The body is over the bound of its route.
pub const TOO_LARGE: Reject = Reject { status: 413, reason: "the body is too large" };
/// The node has no memory left for the body.
pub const FULL: Reject = Reject { status: 503, reason: "this node is full" };
const BAD_CHUNK: Reject = Reject { status: 400, reason: "a chunk is malformed" };

fn chunk_size(connection: &mut Connection, deadline_ms: u64) -> Result<u64, Reject> {
    loop {
        match httparse::parse_chunk_size(connection.buffered()) {
            Ok(httparse::Status::Complete((used, size_bytes))) => {
                connection.consume(used);
                return Ok(size_bytes);
            }
            Ok(httparse::Status::Partial) if connection.buffered().len() < CHUNK_LINE_BYTES => {
                connection.read_more(deadline_ms)?;
            }
            _ => return Err(BAD_CHUNK),
        }
    }
}

fn skip_trailers(connection: &mut Connection, deadline_ms: u64) -> Result<(), Reject> {
    let mut skipped = 0;
    loop {
        let line = connection.buffered().windows(2).position(|pair| pair == b"\r\n");
        match line {
            Some(0) => {
                connection.consume(2);
                return Ok(());
            }
            Some(at) => {
                connection.consume(at + 2);
                skipped += at + 2;
            }
            None => connection.read_more(deadline_ms)?,
        }
        if skipped + connection.buffered().len() > 8 * CHUNK_LINE_BYTES {
            return Err(BAD_CHUNK);
        }
    }
}
