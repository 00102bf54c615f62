use crate::nodes::Nodes;
use crate::schedule::mix;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What clients that ask again at once and without end were told, all together.
#[derive(Default)]
pub struct Greedy {
    pub goes: AtomicU64,
    pub served: AtomicU64,
    pub shed: AtomicU64,
    pub failed: AtomicU64,
}

/// Each from its own address of the loopback net, at its share of the rate; what is not served is
/// asked again at once.
pub fn start(
    clients: u64,
    per_s: f64,
    nodes: &Arc<Nodes>,
    ended: &Arc<AtomicBool>,
    told: &Arc<Greedy>,
) -> Vec<JoinHandle<()>> {
    let pause = Duration::from_secs_f64(clients as f64 / per_s.max(1.0));
    (0..clients)
        .map(|client| {
            let (nodes, ended, told) = (nodes.clone(), ended.clone(), told.clone());
            thread::spawn(move || {
                let from = Ipv4Addr::new(127, 9, (client / 200) as u8, (client % 200) as u8 + 1);
                let mut due = Instant::now() + pause.mul_f64(client as f64 / clients as f64);
                let mut number = 0;
                while !ended.load(Relaxed) {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    due += pause;
                    number += 1;
                    let id = format!("greedy-{client}-{number}");
                    let mut turn = mix(client << 32 | number);
                    while !ended.load(Relaxed) && !once(from, &nodes, turn, &id, &told) {
                        turn = turn.wrapping_add(1);
                    }
                }
            })
        })
        .collect()
}

fn once(from: Ipv4Addr, nodes: &Nodes, turn: u64, id: &str, told: &Greedy) -> bool {
    let Some(SocketAddr::V4(to)) = nodes.pick(turn).and_then(|node| node.parse().ok()) else {
        thread::sleep(Duration::from_millis(5));
        return false;
    };
    told.goes.fetch_add(1, Relaxed);
    let status = connect(from, to).and_then(|stream| ask(stream, id));
    match status {
        Ok(200) => told.served.fetch_add(1, Relaxed),
        Ok(429 | 503) => told.shed.fetch_add(1, Relaxed),
        _ => told.failed.fetch_add(1, Relaxed),
    };
    matches!(status, Ok(200))
}

fn ask(mut stream: TcpStream, id: &str) -> io::Result<u16> {
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let head =
        format!("GET /stock/{id} HTTP/1.1\r\nHost: h\r\nX-Id: {id}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    let mut text = Vec::new();
    stream.read_to_end(&mut text)?;
    let status = text.get(9..12).and_then(|digits| std::str::from_utf8(digits).ok()?.parse().ok());
    status.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// The library's connect can't choose where from.
fn connect(from: Ipv4Addr, to: SocketAddrV4) -> io::Result<TcpStream> {
    let raw = |address: &Ipv4Addr, port: u16| libc::sockaddr_in {
        sin_family: libc::AF_INET as u16,
        sin_port: port.to_be(),
        sin_addr: libc::in_addr { s_addr: u32::from_ne_bytes(address.octets()) },
        sin_zero: [0; 8],
    };
    let (near, far) = (raw(&from, 0), raw(to.ip(), to.port()));
    let length = size_of::<libc::sockaddr_in>() as u32;
    let done = |code: i32| if code == 0 { Ok(()) } else { Err(io::Error::last_os_error()) };
    unsafe {
        let socket = libc::socket(libc::AF_INET, libc::SOCK_STREAM | libc::SOCK_CLOEXEC, 0);
        if socket < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(socket);
        done(libc::bind(socket, std::ptr::from_ref(&near).cast(), length))?;
        done(libc::connect(socket, std::ptr::from_ref(&far).cast(), length))?;
        Ok(stream)
    }
}
