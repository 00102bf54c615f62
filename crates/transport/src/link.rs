//! Outgoing links.

use crate::set_unacknowledged_timeout;
use log::{debug, warn};
use postbarrow_constants::traffic::*;
use postbarrow_messages::{Envelope, Message, to_frame};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, SendError, Sender, channel};
use std::thread;
use std::time::Duration;

/// Outgoing links, one thread each. Frames may be lost, but are never reordered while a link exists.
/// A link that is idle for `LINK_IDLE_MS` ends, so that none is retained for a departed peer.
pub struct Links {
    own: SocketAddr,
    idle: Duration,
    links: HashMap<SocketAddr, Link>,
}

/// Pending frames are counted beside an unbounded queue: a bounded one would allocate a megabyte a
/// link.
struct Link {
    queue: Sender<Message>,
    pending: Arc<AtomicUsize>,
}

impl Links {
    /// Links of the process with this address, which is the sender of every message.
    pub fn new(own: SocketAddr) -> Self {
        Links::with_idle(own, Duration::from_millis(LINK_IDLE_MS))
    }

    fn with_idle(own: SocketAddr, idle: Duration) -> Self {
        Links { own, idle, links: HashMap::new() }
    }

    /// Sends a message, or drops it if its link is full or fails.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        let (own, idle) = (self.own, self.idle);
        if !self.links.contains_key(&to) {
            self.links.retain(|_, link| !link.has_ended());
        }
        let link = self.links.entry(to).or_insert_with(|| start(own, to, idle));
        if link.pending.load(Relaxed) >= LINK_FRAMES {
            return debug!("link: queue full to={to}");
        }
        link.pending.fetch_add(1, Relaxed);
        if let Err(SendError(message)) = link.queue.send(message) {
            let link = start(own, to, idle);
            link.pending.fetch_add(1, Relaxed);
            let _ = link.queue.send(message);
            self.links.insert(to, link);
        }
    }
}

impl Link {
    /// The thread owns a reference to the count while it runs.
    fn has_ended(&self) -> bool {
        Arc::strong_count(&self.pending) == 1
    }
}

fn start(own: SocketAddr, to: SocketAddr, idle: Duration) -> Link {
    let (queue, receiver) = channel();
    let pending = Arc::new(AtomicUsize::new(0));
    let count = pending.clone();
    let spawned = thread::Builder::new()
        .name(format!("link {to}"))
        .stack_size(STACK_BYTES)
        .spawn(move || run(own, to, &receiver, &count, idle));
    if let Err(error) = spawned {
        warn!("link: thread failed to start to={to} error={error}");
    }
    Link { queue, pending }
}

fn run(
    own: SocketAddr,
    to: SocketAddr,
    queue: &Receiver<Message>,
    pending: &AtomicUsize,
    idle: Duration,
) {
    let mut stream: Option<TcpStream> = None;
    let mut is_unreachable = false;
    while let Ok(message) = queue.recv_timeout(idle) {
        pending.fetch_sub(1, Relaxed);
        let frame = match to_frame(&Envelope { from: own, message }) {
            Ok(frame) => frame,
            Err(error) => {
                warn!("link: frame not sent to={to} error={error}");
                continue;
            }
        };
        if stream.is_none() {
            match connect(to) {
                Ok(connected) => stream = Some(connected),
                Err(error) => {
                    if !is_unreachable {
                        debug!("link: unreachable to={to} error={error}");
                    }
                    is_unreachable = true;
                    thread::sleep(Duration::from_millis(LINK_RETRY_MS));
                    while queue.try_recv().is_ok() {
                        pending.fetch_sub(1, Relaxed);
                    }
                    continue;
                }
            }
        }
        is_unreachable = false;
        if let Some(connected) = &mut stream
            && let Err(error) = connected.write_all(&frame)
        {
            debug!("link: failed to={to} error={error}");
            stream = None;
        }
    }
}

fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_millis(LINK_CONNECT_MS))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(Duration::from_millis(LINK_WRITE_MS)))?;
    set_unacknowledged_timeout(&stream, LINK_UNACKNOWLEDGED_MS)?;
    Ok(stream)
}

#[cfg(test)]
mod tests;
