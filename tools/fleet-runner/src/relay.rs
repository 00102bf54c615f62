use postbarrow_messages::read_frame;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, RwLock};
use std::thread;
use std::time::{Duration, Instant};

/// Which links carry, and how far apart the zones are.
#[derive(Default)]
pub struct Rules {
    pub zones: BTreeMap<SocketAddr, String>,
    pub cut: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Addresses nobody reaches: targets of a zone that is cut off.
    pub dark: BTreeSet<SocketAddr>,
    pub zone_delay: Duration,
}

/// Small TCP relays between the processes: each process is reached through its own.
#[derive(Clone, Default)]
pub struct Relays {
    rules: Arc<RwLock<Rules>>,
}

const CHUNK: usize = 64 * 1024;

impl Relays {
    pub fn rule(&self, change: impl FnOnce(&mut Rules)) {
        if let Ok(mut rules) = self.rules.write() {
            change(&mut rules);
        }
    }

    /// Frames for this process: the first of a connection tells who sends.
    pub fn frames(&self, told: SocketAddr, bound: SocketAddr, zone: &str) -> io::Result<()> {
        self.rule(|rules| {
            rules.zones.insert(told, zone.to_string());
        });
        let listener = TcpListener::bind(told)?;
        let relays = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let relays = relays.clone();
                thread::spawn(move || relays.carry(stream, told, bound));
            }
        });
        Ok(())
    }

    /// Bytes for a target, both ways, unless it is dark.
    pub fn bytes(&self, told: SocketAddr, bound: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(told)?;
        let relays = self.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(bound) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let relays = relays.clone();
                    thread::spawn(move || relays.pump(from, to, told));
                }
            }
        });
        Ok(())
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, told: SocketAddr) {
        let mut part = vec![0; CHUNK];
        while let Ok(length @ 1..) = from.read(&mut part) {
            let dark = self.rules.read().is_ok_and(|rules| rules.dark.contains(&told));
            if !dark && to.write_all(&part[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Write);
    }

    fn carry(&self, mut stream: TcpStream, told: SocketAddr, bound: SocketAddr) {
        let (frames, queue) = channel();
        thread::spawn(move || deliver(bound, &queue));
        let mut from = None;
        while let Ok(frame) = raw(&mut stream) {
            if from.is_none() {
                from = read_frame(&mut &frame[..]).ok().map(|envelope| envelope.from);
            }
            let Some(wait) = from.and_then(|from| self.wait(from, told)) else { continue };
            if frames.send((Instant::now() + wait, frame)).is_err() {
                return;
            }
        }
    }

    /// How long a frame is under way; None if the link is cut.
    fn wait(&self, from: SocketAddr, to: SocketAddr) -> Option<Duration> {
        let rules = self.rules.read().ok()?;
        if rules.cut.contains(&(from, to)) {
            return None;
        }
        let near = rules.zones.get(&from) == rules.zones.get(&to);
        Some(if near { Duration::ZERO } else { rules.zone_delay })
    }
}

fn raw(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut frame = head.to_vec();
    let length = u64::from(u32::from_be_bytes(head));
    let read = stream.take(length).read_to_end(&mut frame)?;
    if read as u64 == length { Ok(frame) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
}

fn deliver(bound: SocketAddr, queue: &Receiver<(Instant, Vec<u8>)>) {
    let Ok(mut stream) = TcpStream::connect(bound) else { return };
    let _ = stream.set_nodelay(true);
    while let Ok((due, frame)) = queue.recv() {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if stream.write_all(&frame).is_err() {
            return;
        }
    }
}
