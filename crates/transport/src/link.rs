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
    let spawned = thread::Builder::new().name(format!("link {to}")).stack_size(STACK_BYTES).spawn(
        move || {
            let (queue, pending) = (&receiver, count.as_ref());
            LinkThread { own, to, queue, pending, stream: None, is_unreachable: false }.run(idle)
        },
    );
    if let Err(error) = spawned {
        warn!("link: thread failed to start to={to} error={error}");
    }
    Link { queue, pending }
}

/// The thread of one link. It connects when there is a message to send, and again after a failure.
struct LinkThread<'q> {
    own: SocketAddr,
    to: SocketAddr,
    queue: &'q Receiver<Message>,
    pending: &'q AtomicUsize,
    stream: Option<TcpStream>,
    /// The last attempt to connect failed, and that was logged.
    is_unreachable: bool,
}

impl LinkThread<'_> {
    /// Runs until the link is idle for so long or its owner drops it.
    fn run(mut self, idle: Duration) {
        while let Ok(message) = self.queue.recv_timeout(idle) {
            self.pending.fetch_sub(1, Relaxed);
            match to_frame(&Envelope { from: self.own, message }) {
                Ok(frame) => self.send(&frame),
                Err(error) => warn!("link: frame not sent to={} error={error}", self.to),
            }
        }
    }

    fn send(&mut self, frame: &[u8]) {
        if self.stream.is_none() {
            match connect(self.to) {
                Ok(connected) => self.stream = Some(connected),
                Err(error) => return self.on_unreachable(&error),
            }
        }
        self.is_unreachable = false;
        if let Some(connected) = &mut self.stream
            && let Err(error) = connected.write_all(frame)
        {
            debug!("link: failed to={} error={error}", self.to);
            self.stream = None;
        }
    }

    /// Pauses and drops what is pending meanwhile; the protocols send again.
    fn on_unreachable(&mut self, error: &std::io::Error) {
        if !self.is_unreachable {
            debug!("link: unreachable to={} error={error}", self.to);
        }
        self.is_unreachable = true;
        thread::sleep(Duration::from_millis(LINK_RETRY_MS));
        while self.queue.try_recv().is_ok() {
            self.pending.fetch_sub(1, Relaxed);
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
