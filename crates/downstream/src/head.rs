//! Parses request heads (RFC 9112, sections 2 to 6).

pub use crate::reject::Reject;
use postbarrow_constants::traffic::HEADERS_MAX;

/// The framing of a request body, which determines where the body ends (RFC 9112, 6.3).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyFraming {
    /// The request has no body.
    None,
    /// The body has this number of bytes, from Content-Length.
    Sized(u64),
    /// The body ends with an empty chunk (`Transfer-Encoding: chunked`).
    Chunked,
}

/// The head of one request: the request line and the headers.
#[derive(Clone, Debug)]
pub struct Head {
    /// The method as received, without a check of its case.
    pub method: String,
    /// The path and query as received.
    pub target: String,
    /// The names and values of the headers, in the order received.
    pub headers: Vec<(String, String)>,
    /// The framing of the request's body.
    pub framing: BodyFraming,
    /// Whether the connection is closed after the response to this request.
    pub close: bool,
    /// Whether the client waits for `100 Continue` before it sends the body (RFC 9110, 10.1.1).
    pub expects_continue: bool,
}

impl Head {
    /// Returns the path: the request target up to the first question mark.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Returns the query: the part after the first question mark, empty without one.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }

    /// Returns the first value of a header, or `None` without such a header; `name` is compared
    /// case-insensitively.
    pub fn header(&self, name: &str) -> Option<&str> {
        values(&self.headers, name).next()
    }
}

/// Returns the values of all headers with this name, which is compared case-insensitively.
pub(crate) fn values<'h>(
    headers: &'h [(String, String)],
    name: &str,
) -> impl Iterator<Item = &'h str> {
    let name = name.to_string();
    headers
        .iter()
        .filter(move |(header, _)| header.eq_ignore_ascii_case(&name))
        .map(|(_, value)| value.as_str())
}

/// Parses a head at the start of `bytes` and returns it with its length in bytes, or `None` if it
/// is incomplete.
///
/// # Errors
/// Fails if the bytes are not a valid head, or if two recipients could interpret them differently.
pub fn parse(bytes: &[u8]) -> Result<Option<(Head, usize)>, Reject> {
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut fields);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Reject::new(431, "too many headers")),
        Err(httparse::Error::Version) => return Err(Reject::new(505, "only HTTP/1.0 and 1.1")),
        Err(_) => return Err(Reject::new(400, "the head is not HTTP/1.1")),
    };
    let is_http_1_0 = parsed.version == Some(0);
    let headers = owned_headers(parsed.headers)?;
    let target = parsed.path.unwrap_or_default().to_string();
    check_target(&target)?;
    let hosts = values(&headers, "host").count();
    if hosts > 1 || (hosts == 0 && !is_http_1_0) {
        return Err(Reject::new(400, "exactly one Host is needed"));
    }
    let body_framing = parse_framing(&headers, is_http_1_0)?;
    let connection = values(&headers, "connection").collect::<Vec<_>>().join(",");
    let has_option =
        |name: &str| connection.split(',').any(|option| option.trim().eq_ignore_ascii_case(name));
    let expects_continue =
        values(&headers, "expect").any(|value| value.eq_ignore_ascii_case("100-continue"));
    let head = Head {
        method: parsed.method.unwrap_or_default().to_string(),
        target,
        close: has_option("close") || (is_http_1_0 && !has_option("keep-alive")),
        framing: body_framing,
        headers,
        expects_continue,
    };
    Ok(Some((head, length)))
}

fn owned_headers(headers: &[httparse::Header]) -> Result<Vec<(String, String)>, Reject> {
    let mut owned = Vec::with_capacity(headers.len());
    for header in headers {
        let value = std::str::from_utf8(header.value)
            .map_err(|_| Reject::new(400, "a header's value is not UTF-8"))?;
        owned.push((header.name.to_string(), value.to_string()));
    }
    Ok(owned)
}

/// Rejects a request target that is not in origin form (RFC 9112, 3.2.1) or has a fragment.
fn check_target(target: &str) -> Result<(), Reject> {
    if !target.starts_with('/') {
        return Err(Reject::new(400, "the target must begin with /"));
    }
    if target.contains('#') {
        return Err(Reject::new(400, "the target must not have a fragment"));
    }
    Ok(())
}

/// Returns the framing of the body. Rejects an ambiguous length, because a request that two
/// recipients frame differently allows request smuggling (RFC 9112, 6.3 and 11.2).
fn parse_framing(headers: &[(String, String)], is_http_1_0: bool) -> Result<BodyFraming, Reject> {
    let lengths: Vec<&str> = values(headers, "content-length").collect();
    let codings: Vec<&str> = values(headers, "transfer-encoding").collect();
    if !lengths.is_empty() && !codings.is_empty() {
        return Err(Reject::new(400, "Content-Length together with Transfer-Encoding"));
    }
    if lengths.len() > 1 {
        return Err(Reject::new(400, "more than one Content-Length"));
    }
    if let Some(coding) = codings.first() {
        if is_http_1_0 || codings.len() > 1 || !coding.trim().eq_ignore_ascii_case("chunked") {
            return Err(Reject::new(501, "the only Transfer-Encoding is chunked"));
        }
        return Ok(BodyFraming::Chunked);
    }
    match lengths.first() {
        None => Ok(BodyFraming::None),
        Some(text) if !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()) => text
            .parse()
            .map(BodyFraming::Sized)
            .map_err(|_| Reject::new(400, "Content-Length is too large")),
        Some(_) => Err(Reject::new(400, "Content-Length is not a number")),
    }
}

/// Headers that apply to a single connection, which a proxy must not forward (RFC 9110, 7.6.1).
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

/// Returns the headers to forward: all except hop-by-hop headers (RFC 9110, 7.6.1), Content-Length,
/// which is computed again, and Expect.
pub fn end_to_end_headers(headers: &[(String, String)]) -> Vec<(String, String)> {
    let connection_options: Vec<String> = values(headers, "connection")
        .flat_map(|value| value.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| {
            let name = name.to_ascii_lowercase();
            !HOP_BY_HOP_HEADERS.contains(&name.as_str())
                && !connection_options.contains(&name)
                && name != "content-length"
                && name != "expect"
        })
        .cloned()
        .collect()
}

#[cfg(test)]
mod tests;
