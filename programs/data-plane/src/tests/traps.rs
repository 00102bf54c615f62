//! What the libraries do where this project would be hurt: the reasons in docs/design.md rest on these.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

fn rouille_with(
    handler: impl Fn(&rouille::Request) -> rouille::Response + Send + Sync + 'static,
) -> std::net::SocketAddr {
    let server = rouille::Server::new("127.0.0.1:0", handler).unwrap();
    let address = server.server_addr();
    std::thread::spawn(move || server.run());
    address
}

fn talk(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(bytes).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut told = Vec::new();
    let _ = stream.read_to_end(&mut told);
    String::from_utf8_lossy(&told).into_owned()
}

#[test]
fn rouille_takes_conflicting_lengths_as_a_sound_request() {
    let taken = Arc::new(AtomicUsize::new(0));
    let count = taken.clone();
    let address = rouille_with(move |_| {
        count.fetch_add(1, SeqCst);
        rouille::Response::text("taken")
    });
    let told = talk(
        address,
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 4\r\nConnection: close\r\n\r\nabcd",
    );
    assert!(told.contains("taken") && taken.load(SeqCst) >= 1, "{told}");
}

#[test]
fn rouille_hands_a_short_body_to_the_handler_as_if_it_ended() {
    let address = rouille_with(|request| {
        let mut body = Vec::new();
        let read = request.data().map(|mut data| data.read_to_end(&mut body).is_ok());
        rouille::Response::text(format!("{read:?} {}", body.len()))
    });
    let told = talk(
        address,
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\nConnection: close\r\n\r\nabc",
    );
    assert!(told.ends_with("Some(true) 3"), "no error, only a missing rest: {told}");
}

#[test]
fn rouille_ends_a_chunked_response_whose_reader_failed_as_if_it_were_whole() {
    struct Fails(usize);
    impl Read for Fails {
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
    let address = rouille_with(|_| rouille::Response {
        status_code: 200,
        headers: vec![],
        data: rouille::ResponseBody::from_reader(Fails(40_000)),
        upgrade: None,
    });
    let told = talk(address, b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    assert!(told.contains("Transfer-Encoding: chunked"), "{}", &told[..200]);
    let ended = told.ends_with("0\r\n\r\n");
    assert!(ended, "the end marker is sent: a cut body looks whole");
}
