use std::io::{self, Read, Write};
use std::net::TcpStream;

pub struct Ask {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Ask {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads one request; None when the other side has closed.
pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Ask>> {
    let mut part = [0; 64 * 1024];
    loop {
        let mut room = [httparse::EMPTY_HEADER; 128];
        let mut parsed = httparse::Request::new(&mut room);
        if let httparse::Status::Complete(length) =
            parsed.parse(buffer).map_err(io::Error::other)?
        {
            let mut ask = Ask {
                method: parsed.method.unwrap_or_default().into(),
                target: parsed.path.unwrap_or_default().into(),
                headers: Vec::new(),
                body: Vec::new(),
            };
            for header in parsed.headers.iter() {
                let value = String::from_utf8_lossy(header.value).into_owned();
                ask.headers.push((header.name.to_string(), value));
            }
            buffer.drain(..length);
            let sized = ask.header("content-length").and_then(|text| text.parse().ok());
            let size_bytes: usize = sized.unwrap_or(0);
            while buffer.len() < size_bytes {
                match stream.read(&mut part)? {
                    0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                    length => buffer.extend_from_slice(&part[..length]),
                }
            }
            ask.body = buffer.drain(..size_bytes).collect();
            return Ok(Some(ask));
        }
        match stream.read(&mut part)? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            length => buffer.extend_from_slice(&part[..length]),
        }
    }
}

pub fn write(stream: &mut TcpStream, status: u16, digest: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\nX-Digest: {digest}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}
