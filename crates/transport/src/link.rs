//! Outgoing links: connections that carry this process's messages to its peers.

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

/// The outgoing links of a process, with one thread each. Frames may be lost, but are never
/// reordered while a link exists. A link that is idle for `LINK_IDLE_MS` ends, so that none is
/// retained for a departed peer.
pub struct Links {
    own_address: SocketAddr,
    idle_timeout: Duration,
    links: HashMap<SocketAddr, Link>,
}

/// The queue of one link's thread. It is unbounded, with a separate count of the pending messages:
/// a bounded queue would allocate a megabyte per link.
struct Link {
    queue: Sender<Message>,
    pending: Arc<AtomicUsize>,
}

impl Links {
    /// Creates the links of the process with this address, which every message names as its sender.
    pub fn new(own_address: SocketAddr) -> Self {
        Links::with_idle_timeout(own_address, Duration::from_millis(LINK_IDLE_MS))
    }

    fn with_idle_timeout(own_address: SocketAddr, idle_timeout: Duration) -> Self {
        Links { own_address, idle_timeout, links: HashMap::new() }
    }

    /// Queues a message on the link to this peer, which is started if there is none. The message is
    /// dropped if the queue is full or the link fails.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        let (own_address, idle_timeout) = (self.own_address, self.idle_timeout);
        if !self.links.contains_key(&to) {
            self.links.retain(|_, link| !link.has_ended());
        }
        let link =
            self.links.entry(to).or_insert_with(|| start_link(own_address, to, idle_timeout));
        if link.pending.load(Relaxed) >= LINK_FRAMES {
            return debug!("link: queue full, message dropped to={to}");
        }
        link.pending.fetch_add(1, Relaxed);
        if let Err(SendError(message)) = link.queue.send(message) {
            let link = start_link(own_address, to, idle_timeout);
            link.pending.fetch_add(1, Relaxed);
            let _ = link.queue.send(message);
            self.links.insert(to, link);
        }
    }
}

impl Link {
    /// Returns whether the link's thread has ended: it owns a reference to the count while it runs.
    fn has_ended(&self) -> bool {
        Arc::strong_count(&self.pending) == 1
    }
}

fn start_link(own_address: SocketAddr, to: SocketAddr, idle_timeout: Duration) -> Link {
    let (queue, receiver) = channel();
    let pending = Arc::new(AtomicUsize::new(0));
    let count = pending.clone();
    let spawned = thread::Builder::new().name(format!("link {to}")).stack_size(STACK_BYTES).spawn(
        move || {
            let (queue, pending) = (&receiver, count.as_ref());
            LinkThread { own_address, to, queue, pending, stream: None, is_unreachable: false }
                .run(idle_timeout)
        },
    );
    if let Err(error) = spawned {
        warn!("link: thread failed to start to={to} error={error}");
    }
    Link { queue, pending }
}

/// The state of one link's thread, which connects when there is a message to send, and again after
/// a failure.
struct LinkThread<'q> {
    own_address: SocketAddr,
    to: SocketAddr,
    queue: &'q Receiver<Message>,
    pending: &'q AtomicUsize,
    stream: Option<TcpStream>,
    /// Whether the last attempt to connect failed; further failures in a row are not logged.
    is_unreachable: bool,
}

impl LinkThread<'_> {
    /// Sends queued messages until none is queued for `idle_timeout` or the link's owner drops it.
    fn run(mut self, idle_timeout: Duration) {
        while let Ok(message) = self.queue.recv_timeout(idle_timeout) {
            self.pending.fetch_sub(1, Relaxed);
            match to_frame(&Envelope { from: self.own_address, message }) {
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
            debug!("link: write failed to={} error={error}", self.to);
            self.stream = None;
        }
    }

    /// Pauses for `LINK_RETRY_MS`, then drops the pending messages; the protocols send again.
    fn on_unreachable(&mut self, error: &std::io::Error) {
        if !self.is_unreachable {
            debug!("link: peer unreachable to={} error={error}", self.to);
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
