//! Heads of requests.

use postbarrow_constants::traffic::HEADERS;

/// How the end of a request's body is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Length {
    /// There is none.
    None,
    /// By its number of bytes.
    Sized(u64),
    /// By an empty chunk.
    Chunked,
}

/// The head of one request.
#[derive(Clone, Debug)]
pub struct Head {
    /// As it came, in any case.
    pub method: String,
    /// Path and query as they came.
    pub target: String,
    /// Names and values in their order.
    pub headers: Vec<(String, String)>,
    /// How its body ends.
    pub length: Length,
    /// The connection is not used after it.
    pub close: bool,
    /// The client waits to be told before it sends its body.
    pub expects_continue: bool,
}

/// Why a request is turned away before it is understood.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reject {
    /// The status to answer with.
    pub status: u16,
    /// For the client to read.
    pub reason: &'static str,
}

const fn reject(status: u16, why: &'static str) -> Reject {
    Reject { status, reason: why }
}

impl Head {
    /// The target up to its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
    /// What follows the first question mark.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }
    /// The first value of a header, whose name counts in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        values(&self.headers, name).next()
    }
}

fn values<'h>(headers: &'h [(String, String)], name: &str) -> impl Iterator<Item = &'h str> {
    let name = name.to_string();
    headers
        .iter()
        .filter(move |(known, _)| known.eq_ignore_ascii_case(&name))
        .map(|(_, value)| value.as_str())
}

/// Parses a head if it is whole; the second value is its length in bytes.
///
/// # Errors
/// Bytes that are no sound head, or that two readers could read two ways.
pub fn parse(bytes: &[u8]) -> Result<Option<(Head, usize)>, Reject> {
    let mut room = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Request::new(&mut room);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(reject(431, "too many headers")),
        Err(httparse::Error::Version) => return Err(reject(505, "only HTTP/1.0 and 1.1")),
        Err(_) => return Err(reject(400, "the head is not HTTP/1.1")),
    };
    let old = parsed.version == Some(0);
    let mut headers = Vec::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let value = std::str::from_utf8(header.value)
            .map_err(|_| reject(400, "a header's value is not UTF-8"))?;
        headers.push((header.name.to_string(), value.to_string()));
    }
    let target = parsed.path.unwrap_or_default().to_string();
    if !target.starts_with('/') {
        return Err(reject(400, "the target must begin with /"));
    }
    if target.contains('#') {
        return Err(reject(400, "the target must not have a fragment"));
    }
    let hosts = values(&headers, "host").count();
    if hosts > 1 || (hosts == 0 && !old) {
        return Err(reject(400, "exactly one Host is needed"));
    }
    let body = body_length(&headers, old)?;
    let connection = values(&headers, "connection").collect::<Vec<_>>().join(",");
    let says =
        |word: &str| connection.split(',').any(|token| token.trim().eq_ignore_ascii_case(word));
    let waits = values(&headers, "expect").any(|value| value.eq_ignore_ascii_case("100-continue"));
    let head = Head {
        method: parsed.method.unwrap_or_default().to_string(),
        target,
        close: says("close") || (old && !says("keep-alive")),
        length: body,
        headers,
        expects_continue: waits,
    };
    Ok(Some((head, length)))
}

/// One clear length or none: anything that two readers could read two ways is refused.
fn body_length(headers: &[(String, String)], old: bool) -> Result<Length, Reject> {
    let lengths: Vec<&str> = values(headers, "content-length").collect();
    let codings: Vec<&str> = values(headers, "transfer-encoding").collect();
    if !lengths.is_empty() && !codings.is_empty() {
        return Err(reject(400, "Content-Length together with Transfer-Encoding"));
    }
    if lengths.len() > 1 {
        return Err(reject(400, "more than one Content-Length"));
    }
    if let Some(coding) = codings.first() {
        if old || codings.len() > 1 || !coding.trim().eq_ignore_ascii_case("chunked") {
            return Err(reject(501, "the only Transfer-Encoding is chunked"));
        }
        return Ok(Length::Chunked);
    }
    match lengths.first() {
        None => Ok(Length::None),
        Some(text) if !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()) => {
            text.parse().map(Length::Sized).map_err(|_| reject(400, "Content-Length is too large"))
        }
        Some(_) => Err(reject(400, "Content-Length is not a number")),
    }
}

const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that go on: all but those that speak of one connection, and the length, which is made anew.
pub fn end_to_end_headers(headers: &[(String, String)]) -> Vec<(String, String)> {
    let named: Vec<String> = values(headers, "connection")
        .flat_map(|value| value.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| {
            let name = name.to_ascii_lowercase();
            !HOP_BY_HOP_HEADERS.contains(&name.as_str())
                && !named.contains(&name)
                && name != "content-length"
                && name != "expect"
        })
        .cloned()
        .collect()
}

#[cfg(test)]
mod tests;
