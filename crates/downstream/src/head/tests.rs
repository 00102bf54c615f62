//! Tests of `head`.

use super::*;

fn parse_status(text: &str) -> u16 {
    match parse(text.as_bytes()) {
        Ok(Some(_)) => 200,
        Ok(None) => 0,
        Err(reject) => reject.status,
    }
}

#[test]
fn an_invalid_or_ambiguous_head_is_rejected() {
    let post_status =
        |lines: &str| parse_status(&format!("POST /a HTTP/1.1\r\nHost: h\r\n{lines}\r\n"));
    assert_eq!(post_status("Content-Length: 3\r\n"), 200);
    assert_eq!(post_status("Content-Length: 3\r\nContent-Length: 4\r\n"), 400);
    assert_eq!(post_status("Content-Length: 3\r\nContent-Length: 3\r\n"), 400);
    assert_eq!(post_status("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), 400);
    assert_eq!(post_status("Content-Length: +3\r\n"), 400);
    assert_eq!(post_status("Content-Length: 99999999999999999999999\r\n"), 400);
    assert_eq!(post_status("Transfer-Encoding: gzip, chunked\r\n"), 501);
    assert_eq!(post_status("Transfer-Encoding : chunked\r\n"), 400);
    assert_eq!(post_status("X: a\r\n b\r\n"), 400);
    assert_eq!(parse_status("GET /a HTTP/1.1\r\n\r\n"), 400);
    assert_eq!(parse_status("GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
    assert_eq!(parse_status("GET /a HTTP/1.1\r\nHost: h\r\n"), 0);
}

#[test]
fn repeated_headers_are_forwarded_and_hop_by_hop_headers_are_not() {
    let text = "GET /a%2Fb?c=%20&c HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nx-a: 2\r\nConnection: x-b, close\r\nX-B: 3\r\nTE: x\r\n\r\n";
    let (head, length) = parse(text.as_bytes()).unwrap().unwrap();
    assert_eq!(length, text.len());
    assert_eq!(head.target, "/a%2Fb?c=%20&c");
    assert!(head.close);
    let forwarded: Vec<String> = end_to_end_headers(&head.headers)
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    assert_eq!(forwarded, ["Host=h", "X-A=1", "x-a=2"]);
}
