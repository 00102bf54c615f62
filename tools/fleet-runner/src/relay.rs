//! TCP relays between the processes. Each control node, data node and target is reached through a
//! relay of its own. The relay of a node delays messages from other zones and drops messages on
//! links that a partition cuts; the relay of a target drops all bytes while its zone is isolated.

use postbarrow_messages::read_frame;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, RwLock};
use std::thread;
use std::time::{Duration, Instant};

/// Size of the buffer for one read from a target's connection, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// One direction between two processes: the sender's and the receiver's advertised addresses.
pub type Link = (SocketAddr, SocketAddr);

/// The rules that all relays follow: zones, partitions and the delay between zones.
#[derive(Default)]
pub struct RelayRules {
    /// The zone of each control and data node, by its advertised address.
    pub zones: BTreeMap<SocketAddr, String>,
    /// The links on which frames are dropped.
    pub dropped_links: BTreeSet<Link>,
    /// The targets whose bytes are dropped in both directions, as those of an isolated zone.
    pub isolated_targets: BTreeSet<SocketAddr>,
    /// The delay of a message from one zone to another.
    pub zone_delay: Duration,
}

/// A frame and the time at which it is due at its receiver.
struct DelayedFrame {
    due: Instant,
    bytes: Vec<u8>,
}

/// The relays of a fleet, which share their rules.
#[derive(Clone, Default)]
pub struct Relays {
    rules: Arc<RwLock<RelayRules>>,
}

impl Relays {
    /// Changes the rules; the change applies to frames and bytes that are read afterwards.
    pub fn change_rules(&self, change: impl FnOnce(&mut RelayRules)) {
        if let Ok(mut rules) = self.rules.write() {
            change(&mut rules);
        }
    }

    /// Starts a relay of frames from the address that a node advertises to the one on which it
    /// listens. The first frame of a connection names its sender.
    ///
    /// # Errors
    /// When the relay can't listen on the advertised address.
    pub fn relay_frames(
        &self,
        advertised: SocketAddr,
        bound: SocketAddr,
        zone: &str,
    ) -> io::Result<()> {
        self.change_rules(|rules| {
            rules.zones.insert(advertised, zone.to_string());
        });
        let listener = TcpListener::bind(advertised)?;
        let relays = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let relays = relays.clone();
                thread::spawn(move || relays.forward_frames(stream, advertised, bound));
            }
        });
        Ok(())
    }

    /// Starts a relay of bytes to and from a target, which drops them while the target is
    /// unreachable.
    ///
    /// # Errors
    /// When the relay can't listen on the advertised address.
    pub fn relay_bytes(&self, advertised: SocketAddr, bound: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(advertised)?;
        let relays = self.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(bound) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let relays = relays.clone();
                    thread::spawn(move || relays.forward_bytes(from, to, advertised));
                }
            }
        });
        Ok(())
    }

    /// Copies bytes in one direction until the sender closes; drops them while the target is
    /// unreachable.
    fn forward_bytes(&self, mut from: TcpStream, mut to: TcpStream, target: SocketAddr) {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(length @ 1..) = from.read(&mut chunk) {
            let is_unreachable =
                self.rules.read().is_ok_and(|rules| rules.isolated_targets.contains(&target));
            if !is_unreachable && to.write_all(&chunk[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Write);
    }

    /// Reads the frames of one connection, and queues each for delivery after the delay of its link
    /// or drops it if the link is cut.
    fn forward_frames(&self, mut stream: TcpStream, to: SocketAddr, bound: SocketAddr) {
        let (frames, queue) = channel();
        thread::spawn(move || deliver(bound, &queue));
        let mut sender = None;
        while let Ok(bytes) = read_raw_frame(&mut stream) {
            if sender.is_none() {
                sender = read_frame(&mut &bytes[..]).ok().map(|envelope| envelope.from);
            }
            let Some(delay) = sender.and_then(|sender| self.delay(sender, to)) else { continue };
            if frames.send(DelayedFrame { due: Instant::now() + delay, bytes }).is_err() {
                return;
            }
        }
    }

    /// Returns the delay of a frame on this link; `None` if the link is cut.
    fn delay(&self, from: SocketAddr, to: SocketAddr) -> Option<Duration> {
        let rules = self.rules.read().ok()?;
        if rules.dropped_links.contains(&(from, to)) {
            return None;
        }
        let is_same_zone = rules.zones.get(&from) == rules.zones.get(&to);
        Some(if is_same_zone { Duration::ZERO } else { rules.zone_delay })
    }
}

/// Reads one frame with its length prefix, without decoding it.
fn read_raw_frame(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut frame = head.to_vec();
    let length = u64::from(u32::from_be_bytes(head));
    let read = stream.take(length).read_to_end(&mut frame)?;
    if read as u64 == length { Ok(frame) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
}

/// Writes queued frames to the address on which their receiver listens, each when it is due.
fn deliver(bound: SocketAddr, queue: &Receiver<DelayedFrame>) {
    let Ok(mut stream) = TcpStream::connect(bound) else { return };
    let _ = stream.set_nodelay(true);
    while let Ok(frame) = queue.recv() {
        thread::sleep(frame.due.saturating_duration_since(Instant::now()));
        if stream.write_all(&frame.bytes).is_err() {
            return;
        }
    }
}
