//! Sockets for this crate's tests.

use std::net::{TcpListener, TcpStream};

/// Returns the two ends of a connection: the server's and the client's.
pub fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (far, _) = listener.accept().unwrap();
    (near, far)
}
