//! Tests of `error`: the error texts that appear in logs and in responses to clients.

use super::*;
use std::io::ErrorKind;

#[test]
fn upstream_errors_state_activity_and_cause() {
    let connect = |error| UpstreamError::Connect(Box::new(error)).to_string();
    assert_eq!(connect(UpstreamError::ClientDeparted), "connect: the client left");
    assert_eq!(connect(io::Error::from(ErrorKind::TimedOut).into()), "connect: timed out");
    assert_eq!(UpstreamError::DeadlinePassed.during("reading"), "reading: late");
    assert_eq!(UpstreamError::ClientDeparted.during("sending"), "sending: the client left");
    assert_eq!(UpstreamError::Closed.during("sending"), "sending: closed");
    assert_eq!(UpstreamError::Truncated.during("reading"), "reading: closed before the end");
    assert_eq!(UpstreamError::HeadTooLarge.during("reading"), "reading: its head is too large");
    assert_eq!(
        UpstreamError::OutOfMemory.during("reading"),
        "reading: this node has no space for it"
    );
    assert_eq!(UpstreamError::IdentityStatus(404).to_string(), "proof: status 404");
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    assert_eq!(
        UpstreamError::OtherTarget(address).to_string(),
        "another target stands at 127.0.0.1:80"
    );
}

#[test]
fn a_parse_error_is_an_upstream_error_with_its_own_text() {
    let error = UpstreamError::from(ParseError::AmbiguousLength);
    assert_eq!(error.during("reading"), "reading: its end is not clear");
    let head = ParseError::Head(httparse::Error::Version);
    assert_eq!(head.to_string(), "no response: invalid HTTP version");
}
