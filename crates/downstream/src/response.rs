//! Encodes the head of a response (RFC 9112, section 4).

use crate::head::{end_to_end_headers, values};
use postbarrow_node::TargetResponse;

/// The encoded head of a response, and whether a body follows it.
pub struct ResponseHead {
    /// The status line and the headers, including the blank line at their end.
    pub bytes: Vec<u8>,
    /// Whether a body follows: a response to HEAD, and one with status 1xx, 204 or 304, has none
    /// (RFC 9112, 6.3).
    pub has_body: bool,
}

impl ResponseHead {
    /// Returns the head of a response to a request with this method. Content-Length is the length
    /// of the body; for HEAD or with status 304 it is the value that the target sent (RFC 9110,
    /// 8.6). `close` adds `Connection: close`.
    pub fn new(response: &TargetResponse, method: &str, close: bool) -> ResponseHead {
        let status = response.status;
        let mut bytes = Vec::with_capacity(1_024);
        push_line(&mut bytes, &format!("HTTP/1.1 {status} {}", reason_phrase(status)));
        for (name, value) in end_to_end_headers(&response.headers) {
            push_line(&mut bytes, &format!("{name}: {value}"));
        }
        let is_bodiless = matches!(status, 100..=199 | 204 | 304);
        if method == "HEAD" || status == 304 {
            if let Some(length) = values(&response.headers, "content-length").last() {
                push_line(&mut bytes, &format!("Content-Length: {length}"));
            }
        } else if !is_bodiless {
            push_line(&mut bytes, &format!("Content-Length: {}", response.body.len()));
        }
        if close {
            push_line(&mut bytes, "Connection: close");
        }
        push_line(&mut bytes, "");
        ResponseHead { bytes, has_body: method != "HEAD" && !is_bodiless }
    }
}

fn push_line(bytes: &mut Vec<u8>, line: &str) {
    bytes.extend_from_slice(line.as_bytes());
    bytes.extend_from_slice(b"\r\n");
}

fn reason_phrase(status: u16) -> &'static str {
    http::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Status")
}
