use postbarrow_constants::traffic::*;
use postbarrow_node::TargetResponse;
use std::ops::Range;

/// How the end of a body is known; by the connection's end it never is, for that could be a cut.
#[derive(Debug, PartialEq)]
pub enum Size {
    Bytes(usize),
    Chunks,
}

#[derive(Debug)]
pub struct Parsed {
    pub response: TargetResponse,
    pub length: usize,
    pub size: Size,
    /// The connection may be used again.
    pub again: bool,
    /// How long the target keeps it idle, less a margin.
    pub keep_ms: Option<u64>,
}

/// Parses a response's head if it is whole.
///
/// # Errors
/// Bytes that are no HTTP/1.1 response with one clear length.
pub fn parse(bytes: &[u8], method: &str) -> Result<Option<Parsed>, String> {
    let mut room = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Response::new(&mut room);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(format!("no response: {error}")),
    };
    let status = parsed.code.unwrap_or(0);
    let mut headers = Vec::with_capacity(parsed.headers.len());
    let (mut sizes, mut chunked, mut coded) = (Vec::new(), false, false);
    let (mut again, mut keep_ms) = (parsed.version == Some(1), None);
    for header in parsed.headers.iter() {
        let value =
            std::str::from_utf8(header.value).map_err(|_| "a header is not UTF-8".to_string())?;
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let size = value.parse::<usize>().ok().filter(|_| digits);
            sizes.push(size.ok_or("its length is no number")?);
        } else if is("transfer-encoding") {
            coded = true;
            chunked = value.trim().eq_ignore_ascii_case("chunked");
        } else if is("connection") {
            again &= !value.to_ascii_lowercase().contains("close");
        } else if is("keep-alive") {
            keep_ms = read_keep_ms(value);
        }
        headers.push((header.name.to_string(), value.to_string()));
    }
    let response = TargetResponse { status, headers, body: Vec::new() };
    let bodiless = method == "HEAD" || status < 200 || matches!(status, 204 | 304);
    let size = match (&sizes[..], coded, chunked) {
        _ if bodiless => Size::Bytes(0),
        ([size], false, _) => Size::Bytes(*size),
        ([], true, true) => Size::Chunks,
        _ => return Err("its end is not clear".into()),
    };
    Ok(Some(Parsed { response, length, size, again, keep_ms }))
}

fn read_keep_ms(value: &str) -> Option<u64> {
    let told = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let keep_ms = told.trim().parse::<u64>().ok()?.saturating_mul(1_000);
    Some(keep_ms.saturating_sub(TARGET_IDLE_MARGIN_MS).min(TARGET_IDLE_MAX_MS))
}

/// The next chunk if it is whole: how many bytes it takes in all, and where its own are. An empty
/// one is the end.
pub fn chunk(bytes: &[u8]) -> Result<Option<(usize, Range<usize>)>, String> {
    let (start, size) = match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((start, size))) => (start, size as usize),
        Ok(httparse::Status::Partial) if bytes.len() < CHUNK_LINE_BYTES => return Ok(None),
        _ => return Err("a chunk's size can't be read".into()),
    };
    if size == 0 {
        return trailers(bytes, start).map(|end| end.map(|end| (end, start..start)));
    }
    let end = start.checked_add(size).filter(|end| *end < usize::MAX - 2).ok_or("a huge chunk")?;
    match bytes.get(end..end + 2) {
        None => Ok(None),
        Some(b"\r\n") => Ok(Some((end + 2, start..end))),
        Some(_) => Err("a chunk has no end".into()),
    }
}

fn trailers(bytes: &[u8], mut at: usize) -> Result<Option<usize>, String> {
    loop {
        let rest = &bytes[at..];
        match rest.windows(2).position(|pair| pair == b"\r\n") {
            Some(0) => return Ok(Some(at + 2)),
            Some(line) => at += line + 2,
            None if rest.len() > CHUNK_LINE_BYTES => return Err("endless trailers".into()),
            None => return Ok(None),
        }
    }
}

#[cfg(test)]
mod tests;
