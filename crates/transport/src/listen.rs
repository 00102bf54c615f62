//! Incoming links: connections over which peers send messages to this process.

use crate::{enable_keepalive, spawn_essential};
use log::{debug, warn};
use postbarrow_constants::traffic::{INCOMING_LINKS_MAX, STACK_BYTES};
use postbarrow_messages::{Envelope, FrameError, read_frame};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::thread;

/// Starts a thread that accepts links, and passes each message to `deliver`, which returns false to
/// close the link. An unreadable frame closes only its own link. Returns the bound address.
///
/// # Errors
/// The listener's address can't be read, or the thread can't be started.
pub fn listen(
    listener: TcpListener,
    deliver: impl Fn(Envelope) -> bool + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    let deliver = Arc::new(deliver);
    let links = Arc::new(AtomicUsize::new(0));
    spawn_essential("listen", move || {
        for stream in listener.incoming().flatten() {
            if links.load(Relaxed) >= INCOMING_LINKS_MAX {
                warn!("link: too many incoming links max={INCOMING_LINKS_MAX}");
                continue;
            }
            links.fetch_add(1, Relaxed);
            let (deliver, count) = (deliver.clone(), links.clone());
            let spawned = thread::Builder::new()
                .name("link in".into())
                .stack_size(4 * STACK_BYTES)
                .spawn(move || {
                    read(stream, deliver.as_ref());
                    count.fetch_sub(1, Relaxed);
                });
            if spawned.is_err() {
                links.fetch_sub(1, Relaxed);
            }
        }
    })?;
    Ok(address)
}

/// Sets the options of an incoming link. Its peer is probed, because a peer whose machine vanished
/// does not close the connection: without probes the link would count towards
/// `INCOMING_LINKS_MAX` for ever.
fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    enable_keepalive(stream)
}

fn read(stream: TcpStream, deliver: &(impl Fn(Envelope) -> bool + ?Sized)) {
    let from = stream.peer_addr();
    if let Err(error) = set_options(&stream) {
        return debug!("link: closed from={from:?} error={error}");
    }
    let mut reader = BufReader::with_capacity(64 * 1024, stream);
    loop {
        match read_frame(&mut reader) {
            Ok(envelope) => {
                if !deliver(envelope) {
                    return;
                }
            }
            Err(FrameError::Closed) => return,
            Err(error @ FrameError::Io(_)) => {
                return debug!("link: closed from={from:?} error={error}");
            }
            Err(error) => return warn!("link: closed from={from:?} error={error}"),
        }
    }
}

#[cfg(test)]
mod tests;
