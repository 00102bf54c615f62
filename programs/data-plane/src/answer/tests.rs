//! Tests of `answer`.

use super::*;

fn size(lines: &str) -> Result<Size, String> {
    let text = format!("HTTP/1.1 200 OK\r\n{lines}\r\n");
    parse(text.as_bytes(), "GET").map(|parsed| parsed.unwrap().size)
}

#[test]
fn body_without_unambiguous_length_is_rejected() {
    assert_eq!(size("Content-Length: 5\r\n"), Ok(Size::Bytes(5)));
    assert_eq!(size("Transfer-Encoding: chunked\r\n"), Ok(Size::Chunks));
    assert!(size("").is_err());
    assert!(size("Content-Length: 5\r\nContent-Length: 6\r\n").is_err());
    assert!(size("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n").is_err());
    assert!(size("Content-Length: +5\r\n").is_err());
}

#[test]
fn chunk_is_parsed_only_when_complete() {
    assert_eq!(chunk(b"3\r\nab"), Ok(None));
    assert_eq!(chunk(b"3\r\nabc\r\n"), Ok(Some((8, 3..6))));
    assert_eq!(chunk(b"0\r\nT: v\r\n"), Ok(None));
    assert_eq!(chunk(b"0\r\nT: v\r\n\r\n"), Ok(Some((11, 3..3))));
    assert!(chunk(b"3\r\nabcd\r\n").is_err());
    assert!(chunk(b"zz\r\n").is_err());
}
