//! The part of HTTP/1.1 that a target supports: requests with a Content-Length or no body, and
//! responses with a digest of their body.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Size of the buffer for one read, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 128;

/// One request with its complete body.
pub struct HttpRequest {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub target: String,
    /// The names and values of the headers, in their order in the request.
    pub headers: Vec<(String, String)>,
    /// The body; empty without a Content-Length.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns the first value of a header, whose name is compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the value of a header as a number; `None` if it is absent or not a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name).and_then(|text| text.parse().ok())
    }
}

/// Reads one request; `None` if the peer closed the connection between two requests. `buffer` keeps
/// the bytes that were read beyond the end of a request for the next call.
///
/// # Errors
/// When the connection fails or ends within a request, or when the head is not valid HTTP.
pub fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<HttpRequest>> {
    let mut chunk = [0; CHUNK_BYTES];
    loop {
        if let Some(mut request) = take_head(buffer)? {
            let stated_length = request.header("content-length").and_then(|text| text.parse().ok());
            let size_bytes: usize = stated_length.unwrap_or(0);
            while buffer.len() < size_bytes {
                match stream.read(&mut chunk)? {
                    0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                    length => buffer.extend_from_slice(&chunk[..length]),
                }
            }
            request.body = buffer.drain(..size_bytes).collect();
            return Ok(Some(request));
        }
        match stream.read(&mut chunk)? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            length => buffer.extend_from_slice(&chunk[..length]),
        }
    }
}

/// Parses a head and removes it from the buffer; `None` if the buffer has no complete head yet.
fn take_head(buffer: &mut Vec<u8>) -> io::Result<Option<HttpRequest>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = parsed.parse(buffer).map_err(io::Error::other)? else {
        return Ok(None);
    };
    let header = |header: &httparse::Header<'_>| {
        (header.name.to_string(), String::from_utf8_lossy(header.value).into_owned())
    };
    let request = HttpRequest {
        method: parsed.method.unwrap_or_default().into(),
        target: parsed.path.unwrap_or_default().into(),
        headers: parsed.headers.iter().map(header).collect(),
        body: Vec::new(),
    };
    buffer.drain(..length);
    Ok(Some(request))
}

/// Writes a complete JSON response with the digest of its body.
///
/// # Errors
/// When the connection fails.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    digest: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\nX-Digest: {digest}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}
