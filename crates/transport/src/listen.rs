//! Incoming links.

use crate::enable_keepalive;
use log::{debug, warn};
use postbarrow_constants::traffic::{LINKS, STACK_BYTES};
use postbarrow_messages::{Envelope, FrameError, read_frame};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::thread;

/// Takes links and hands each frame on. An unreadable one closes its link, nothing else.
pub fn listen(
    listener: TcpListener,
    hand: impl Fn(Envelope) -> bool + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    let hand = Arc::new(hand);
    let open = Arc::new(AtomicUsize::new(0));
    thread::Builder::new().name("listen".into()).spawn(move || {
        for stream in listener.incoming().flatten() {
            if open.load(Relaxed) >= LINKS {
                warn!("link: {LINKS} links are open, one more is closed");
                continue;
            }
            open.fetch_add(1, Relaxed);
            let (hand, done) = (hand.clone(), open.clone());
            let spawned = thread::Builder::new()
                .name("link in".into())
                .stack_size(4 * STACK_BYTES)
                .spawn(move || {
                    read(stream, hand.as_ref());
                    done.fetch_sub(1, Relaxed);
                });
            if spawned.is_err() {
                open.fetch_sub(1, Relaxed);
            }
        }
    })?;
    Ok(address)
}

/// A peer whose machine vanished sends no end: without probes its place would be taken for good.
fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    enable_keepalive(stream)
}

fn read(stream: TcpStream, hand: &(impl Fn(Envelope) -> bool + ?Sized)) {
    let from = stream.peer_addr();
    if let Err(error) = prepare(&stream) {
        return debug!("link: from {from:?}: {error}");
    }
    let mut reader = BufReader::with_capacity(64 * 1024, stream);
    loop {
        match read_frame(&mut reader) {
            Ok(envelope) => {
                if !hand(envelope) {
                    return;
                }
            }
            Err(FrameError::Closed) => return,
            Err(error @ FrameError::Io(_)) => return debug!("link: from {from:?}: {error}"),
            Err(error) => return warn!("link: from {from:?} closed: {error}"),
        }
    }
}

#[cfg(test)]
mod tests;
