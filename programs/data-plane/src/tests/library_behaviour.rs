//! Tests of library behaviour that would be harmful here; the reasons in docs/design.md depend on
//! it.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

fn start_rouille(
    handler: impl Fn(&rouille::Request) -> rouille::Response + Send + Sync + 'static,
) -> std::net::SocketAddr {
    let server = rouille::Server::new("127.0.0.1:0", handler).unwrap();
    let address = server.server_addr();
    std::thread::spawn(move || server.run());
    address
}

fn send_and_read_to_end(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(bytes).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut reply = Vec::new();
    let _ = stream.read_to_end(&mut reply);
    String::from_utf8_lossy(&reply).into_owned()
}

#[test]
fn rouille_accepts_conflicting_content_lengths() {
    let handled = Arc::new(AtomicUsize::new(0));
    let count = handled.clone();
    let address = start_rouille(move |_| {
        count.fetch_add(1, SeqCst);
        rouille::Response::text("taken")
    });
    let reply = send_and_read_to_end(
        address,
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 4\r\nConnection: close\r\n\r\nabcd",
    );
    assert!(reply.contains("taken") && handled.load(SeqCst) >= 1, "{reply}");
}

#[test]
fn rouille_hands_a_truncated_body_to_the_handler_as_complete() {
    let address = start_rouille(|request| {
        let mut body = Vec::new();
        let read = request.data().map(|mut data| data.read_to_end(&mut body).is_ok());
        rouille::Response::text(format!("{read:?} {}", body.len()))
    });
    let reply = send_and_read_to_end(
        address,
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\nConnection: close\r\n\r\nabc",
    );
    assert!(
        reply.ends_with("Some(true) 3"),
        "the handler must get no error, only the 3 bytes received: {reply}"
    );
}

#[test]
fn rouille_terminates_a_chunked_response_whose_reader_failed_as_complete() {
    struct FailingReader(usize);
    impl Read for FailingReader {
        fn read(&mut self, into: &mut [u8]) -> std::io::Result<usize> {
            if self.0 == 0 {
                return Err(std::io::ErrorKind::Other.into());
            }
            let length = into.len().min(self.0);
            into[..length].fill(b'a');
            self.0 -= length;
            Ok(length)
        }
    }
    let address = start_rouille(|_| rouille::Response {
        status_code: 200,
        headers: vec![],
        data: rouille::ResponseBody::from_reader(FailingReader(40_000)),
        upgrade: None,
    });
    let reply =
        send_and_read_to_end(address, b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    assert!(reply.contains("Transfer-Encoding: chunked"), "{}", &reply[..200]);
    let ended = reply.ends_with("0\r\n\r\n");
    assert!(ended, "the last chunk must be sent, so that the truncated body looks complete");
}
