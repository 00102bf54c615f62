//! Parses the head and the body framing of a target's response (RFC 9112, sections 4 and 6).
//!
//! The parser is stricter than the RFC: a response whose end is known only by the end of its
//! connection is an error, because it can't be distinguished from a truncated response.

use crate::error::ParseError;
use postbarrow_constants::traffic::*;
use postbarrow_node::TargetResponse;
use std::ops::Range;

/// The framing of a response body, which determines where the body ends.
#[derive(Debug, PartialEq)]
pub enum BodyFraming {
    /// The body has this number of bytes, 0 for a response without a body.
    Sized(usize),
    /// The body ends with an empty chunk.
    Chunked,
}

/// The parsed head of a response.
#[derive(Debug)]
pub struct ResponseHead {
    /// The response with its status and headers; its body is empty until it is read.
    pub response: TargetResponse,
    /// Length of the head, in bytes.
    pub length: usize,
    /// The framing of the body.
    pub framing: BodyFraming,
    /// Whether the target keeps the connection open after the response.
    pub is_persistent: bool,
    /// How long the target keeps the connection open while idle, less `TARGET_IDLE_MARGIN_MS` and
    /// at most `TARGET_IDLE_MAX_MS`, in milliseconds; `None` if the response has no `Keep-Alive`
    /// header with a valid timeout.
    pub idle_limit_ms: Option<u64>,
}

/// Parses the head of a response to a request with this method; returns `None` if it is incomplete.
///
/// # Errors
/// Fails if the bytes are not an HTTP/1.1 response with one unambiguous length.
pub fn parse_head(bytes: &[u8], method: &str) -> Result<Option<ResponseHead>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(ParseError::Head(error)),
    };
    let status = parsed.code.unwrap_or(0);
    let fields = FramingFields::read(parsed.version == Some(1), parsed.headers)?;
    let framing = fields.framing(method, status)?;
    let FramingFields { headers, is_persistent, idle_limit_ms, .. } = fields;
    let response = TargetResponse { status, headers, body: Vec::new() };
    Ok(Some(ResponseHead { response, length, framing, is_persistent, idle_limit_ms }))
}

/// The headers of a response, and the framing and connection options that they state.
struct FramingFields {
    headers: Vec<(String, String)>,
    lengths: Vec<usize>,
    has_transfer_coding: bool,
    is_chunked: bool,
    is_persistent: bool,
    idle_limit_ms: Option<u64>,
}

impl FramingFields {
    fn read(
        is_http_1_1: bool,
        headers: &[httparse::Header<'_>],
    ) -> Result<FramingFields, ParseError> {
        let mut fields = FramingFields {
            headers: Vec::with_capacity(headers.len()),
            lengths: Vec::new(),
            has_transfer_coding: false,
            is_chunked: false,
            is_persistent: is_http_1_1,
            idle_limit_ms: None,
        };
        for header in headers {
            let value = std::str::from_utf8(header.value).map_err(|_| ParseError::HeaderNotUtf8)?;
            fields.read_header(header.name, value)?;
            fields.headers.push((header.name.to_string(), value.to_string()));
        }
        Ok(fields)
    }

    fn read_header(&mut self, name: &str, value: &str) -> Result<(), ParseError> {
        let is = |expected: &str| name.eq_ignore_ascii_case(expected);
        if is("content-length") {
            let is_decimal = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let length = value.parse::<usize>().ok().filter(|_| is_decimal);
            self.lengths.push(length.ok_or(ParseError::LengthNotANumber)?);
        } else if is("transfer-encoding") {
            self.has_transfer_coding = true;
            self.is_chunked = value.trim().eq_ignore_ascii_case("chunked");
        } else if is("connection") {
            self.is_persistent &= !value.to_ascii_lowercase().contains("close");
        } else if is("keep-alive") {
            self.idle_limit_ms = idle_limit_ms(value);
        }
        Ok(())
    }

    fn framing(&self, method: &str, status: u16) -> Result<BodyFraming, ParseError> {
        let bodiless = method == "HEAD" || status < 200 || matches!(status, 204 | 304);
        match (&self.lengths[..], self.has_transfer_coding, self.is_chunked) {
            _ if bodiless => Ok(BodyFraming::Sized(0)),
            ([length], false, _) => Ok(BodyFraming::Sized(*length)),
            ([], true, true) => Ok(BodyFraming::Chunked),
            _ => Err(ParseError::AmbiguousLength),
        }
    }
}

/// Returns the idle timeout of a `Keep-Alive` header, less `TARGET_IDLE_MARGIN_MS` and at most
/// `TARGET_IDLE_MAX_MS`, in milliseconds, or `None` if the header states no valid timeout.
fn idle_limit_ms(value: &str) -> Option<u64> {
    let timeout = value.split(',').find_map(|field| field.trim().strip_prefix("timeout="))?;
    let timeout_ms = timeout.trim().parse::<u64>().ok()?.saturating_mul(1_000);
    Some(timeout_ms.saturating_sub(TARGET_IDLE_MARGIN_MS).min(TARGET_IDLE_MAX_MS))
}

/// Parses the chunk at the start of `bytes` (RFC 9112, section 7.1). Returns its total length in
/// bytes, framing included, and the range of its data, or `None` if it is incomplete. An empty
/// range marks the end of the body.
///
/// # Errors
/// Fails if the size or the end of the chunk is malformed, or if a line exceeds its limit.
pub fn parse_chunk(bytes: &[u8]) -> Result<Option<(usize, Range<usize>)>, ParseError> {
    let (start, size) = match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((start, size))) => (start, size as usize),
        Ok(httparse::Status::Partial) if bytes.len() < CHUNK_LINE_BYTES => return Ok(None),
        _ => return Err(ParseError::ChunkSize),
    };
    if size == 0 {
        return skip_trailers(bytes, start).map(|end| end.map(|end| (end, start..start)));
    }
    let end = start.checked_add(size).filter(|end| *end < usize::MAX - 2);
    let end = end.ok_or(ParseError::ChunkTooLarge)?;
    match bytes.get(end..end + 2) {
        None => Ok(None),
        Some(b"\r\n") => Ok(Some((end + 2, start..end))),
        Some(_) => Err(ParseError::ChunkUnterminated),
    }
}

/// Returns the offset after the trailer section that begins at `offset`, or `None` if the section
/// is incomplete.
fn skip_trailers(bytes: &[u8], mut offset: usize) -> Result<Option<usize>, ParseError> {
    loop {
        let rest = &bytes[offset..];
        match rest.windows(2).position(|pair| pair == b"\r\n") {
            Some(0) => return Ok(Some(offset + 2)),
            Some(line) => offset += line + 2,
            None if rest.len() > CHUNK_LINE_BYTES => return Err(ParseError::TrailersTooLong),
            None => return Ok(None),
        }
    }
}

#[cfg(test)]
mod tests;
