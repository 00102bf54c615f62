//! A target that reads a request only as far as the test allows.

use super::{complete, identity, read_request};
use postbarrow_constants::traffic::IDENTITY_PATH;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// A target that identifies itself, then reads only the first bytes of a request until the test
/// lets it read the rest.
pub struct UnreadingTarget {
    pub address: SocketAddr,
    /// Receives a message once the first bytes of a request have arrived.
    pub began: Receiver<()>,
    resume: Sender<()>,
    /// Receives the length of the complete body, or `None` if the connection broke before.
    body_bytes: Receiver<Option<usize>>,
}

impl UnreadingTarget {
    pub fn start(instance: &'static str, service: &'static str) -> UnreadingTarget {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ((began_sender, began), (resume, may_read), (body_bytes_sender, body_bytes)) =
            (channel(), channel(), channel());
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut buffer = Vec::new();
            let (head, _) = read_request(&mut stream, &mut buffer)
                .expect("an identity request must come first");
            assert!(head.contains(IDENTITY_PATH), "{head}");
            stream.write_all(complete(&identity(instance, service)).as_bytes()).unwrap();
            let mut first = [0; 4];
            stream.read_exact(&mut first).unwrap();
            let _ = began_sender.send(());
            let _ = may_read.recv();
            buffer.extend_from_slice(&first);
            let request = read_request(&mut stream, &mut buffer);
            let _ = body_bytes_sender.send(request.map(|(_, body)| body.len()));
            let _ = stream.write_all(complete("done").as_bytes());
        });
        UnreadingTarget { address, began, resume, body_bytes }
    }

    /// Lets the target read the rest of the request. Returns the length of the complete body, or
    /// `None` if the connection broke before.
    pub fn resume_reading(&self) -> Option<usize> {
        self.resume.send(()).unwrap();
        self.body_bytes.recv().unwrap()
    }
}
