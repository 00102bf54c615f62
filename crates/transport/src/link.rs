use log::{debug, warn};
use postbarrow_constants::traffic::*;
use postbarrow_messages::{Envelope, Message, to_frame};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

/// Outgoing links, one thread each. Frames may be lost, never reordered within a link's life.
pub struct Links {
    own: SocketAddr,
    links: HashMap<SocketAddr, SyncSender<Message>>,
}

impl Links {
    pub fn new(own: SocketAddr) -> Self {
        Links { own, links: HashMap::new() }
    }

    pub fn send(&mut self, to: SocketAddr, message: Message) {
        let own = self.own;
        let link = self.links.entry(to).or_insert_with(|| start(own, to));
        match link.try_send(message) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => debug!("link: {to} is full"),
            Err(TrySendError::Disconnected(message)) => {
                let link = start(own, to);
                let _ = link.try_send(message);
                self.links.insert(to, link);
            }
        }
    }
}

fn start(own: SocketAddr, to: SocketAddr) -> SyncSender<Message> {
    let (sender, receiver) = sync_channel(LINK_FRAMES);
    let spawned = thread::Builder::new()
        .name(format!("link {to}"))
        .stack_size(STACK_BYTES)
        .spawn(move || run(own, to, &receiver));
    if let Err(error) = spawned {
        warn!("link: no thread for {to}: {error}");
    }
    sender
}

fn run(own: SocketAddr, to: SocketAddr, queue: &Receiver<Message>) {
    let mut stream: Option<TcpStream> = None;
    let mut down = false;
    while let Ok(message) = queue.recv() {
        let frame = match to_frame(&Envelope { from: own, message }) {
            Ok(frame) => frame,
            Err(error) => {
                warn!("link: not sent to {to}: {error}");
                continue;
            }
        };
        if stream.is_none() {
            match connect(to) {
                Ok(opened) => stream = Some(opened),
                Err(error) => {
                    if !down {
                        debug!("link: {to} is out of reach: {error}");
                    }
                    down = true;
                    thread::sleep(Duration::from_millis(LINK_AGAIN_MS));
                    while queue.try_recv().is_ok() {}
                    continue;
                }
            }
        }
        down = false;
        if let Some(open) = &mut stream
            && let Err(error) = open.write_all(&frame)
        {
            debug!("link: to {to}: {error}");
            stream = None;
        }
    }
}

fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_millis(LINK_CONNECT_MS))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(Duration::from_millis(LINK_WRITE_MS)))?;
    Ok(stream)
}
