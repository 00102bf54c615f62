//! HTTP/1.1 as a target speaks it: requests with a Content-Length, responses with a digest.

use std::io::{self, Read, Write};
use std::net::TcpStream;

const CHUNK_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 128;

/// One request with its complete body.
pub struct HttpRequest {
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Names and values in their order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// The first value of a header, whose name is compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// A header whose value is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name).and_then(|text| text.parse().ok())
    }
}

/// Reads one request; `None` when the peer has closed between two requests. `buffer` has what was
/// read beyond the last request.
///
/// # Errors
/// When the connection fails or ends within a request, or when the head is no HTTP.
pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<HttpRequest>> {
    let mut chunk = [0; CHUNK_BYTES];
    loop {
        if let Some(mut request) = take_head(buffer)? {
            let sized = request.header("content-length").and_then(|text| text.parse().ok());
            let size_bytes: usize = sized.unwrap_or(0);
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

/// Takes a complete head out of the buffer; `None` if more of it has to be read.
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
pub fn write(stream: &mut TcpStream, status: u16, digest: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\nX-Digest: {digest}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}
