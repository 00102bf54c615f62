//! Reports about requests to which a target never responds.

use std::io::Read;
use std::net::TcpStream;
use std::sync::mpsc::{Receiver, Sender, channel};

/// Reports the start and the end of a request to which a target never responds; owned by the
/// target.
#[derive(Clone)]
pub struct Observer {
    began: Sender<()>,
    ended: Sender<()>,
}

/// Receives the reports of an [`Observer`]; owned by the test.
pub struct Observations {
    pub began: Receiver<()>,
    pub ended: Receiver<()>,
}

/// Returns a connected pair of observations and observer.
pub fn observations() -> (Observations, Observer) {
    let ((began, on_began), (ended, on_ended)) = (channel(), channel());
    (Observations { began: on_began, ended: on_ended }, Observer { began, ended })
}

impl Observer {
    /// Reports the start, reads and discards bytes until the connection ends, and reports the end.
    pub fn hang(&self, stream: &mut TcpStream) {
        let _ = self.began.send(());
        let mut chunk = [0; 4096];
        while matches!(stream.read(&mut chunk), Ok(length) if length > 0) {}
        let _ = self.ended.send(());
    }
}
