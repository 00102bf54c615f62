//! Tests of `response_parser`.

use super::*;

fn framing(lines: &str) -> Result<BodyFraming, ParseError> {
    let text = format!("HTTP/1.1 200 OK\r\n{lines}\r\n");
    parse_head(text.as_bytes(), "GET").map(|parsed| parsed.unwrap().framing)
}

#[test]
fn body_without_unambiguous_length_is_rejected() {
    assert_eq!(framing("Content-Length: 5\r\n"), Ok(BodyFraming::Sized(5)));
    assert_eq!(framing("Transfer-Encoding: chunked\r\n"), Ok(BodyFraming::Chunked));
    assert!(framing("").is_err());
    assert!(framing("Content-Length: 5\r\nContent-Length: 6\r\n").is_err());
    assert!(framing("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n").is_err());
    assert!(framing("Content-Length: +5\r\n").is_err());
}

#[test]
fn chunk_is_parsed_only_when_complete() {
    assert_eq!(parse_chunk(b"3\r\nab"), Ok(None));
    assert_eq!(parse_chunk(b"3\r\nabc\r\n"), Ok(Some((8, 3..6))));
    assert_eq!(parse_chunk(b"0\r\nT: v\r\n"), Ok(None));
    assert_eq!(parse_chunk(b"0\r\nT: v\r\n\r\n"), Ok(Some((11, 3..3))));
    assert!(parse_chunk(b"3\r\nabcd\r\n").is_err());
    assert!(parse_chunk(b"zz\r\n").is_err());
}
