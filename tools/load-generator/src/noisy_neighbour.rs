//! Noisy neighbours: clients that retry without pause or end, each from its own address.

use crate::nodes::Nodes;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tools_shared::mix;

/// Prefix of the ids of noisy neighbours' requests.
pub const ID_PREFIX: &str = "greedy-";

/// The numbers of attempts of all noisy neighbours, by their outcome.
#[derive(Default)]
pub struct NoisyCounters {
    /// The number of all attempts.
    pub attempts: AtomicU64,
    /// The number of attempts that got status 200.
    pub served: AtomicU64,
    /// The number of attempts that got status 429 or 503.
    pub shed: AtomicU64,
    /// The number of attempts that got another status or no response.
    pub failed: AtomicU64,
}

/// Starts the clients, each from its own address of the loopback network and with an equal share of
/// the rate, until the run has ended. A lookup that is not served is sent again without a pause.
pub fn start(
    clients: u64,
    per_s: f64,
    nodes: &Arc<Nodes>,
    run_ended: &Arc<AtomicBool>,
    counters: &Arc<NoisyCounters>,
) -> Vec<JoinHandle<()>> {
    let pause = Duration::from_secs_f64(clients as f64 / per_s.max(1.0));
    (0..clients)
        .map(|client| {
            let (nodes, run_ended) = (nodes.clone(), run_ended.clone());
            let counters = counters.clone();
            thread::spawn(move || {
                let from = Ipv4Addr::new(127, 9, (client / 200) as u8, (client % 200) as u8 + 1);
                let mut due = Instant::now() + pause.mul_f64(client as f64 / clients as f64);
                let mut number = 0;
                while !run_ended.load(Relaxed) {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    due += pause;
                    number += 1;
                    let id = format!("{ID_PREFIX}{client}-{number}");
                    let mut seed = mix(client << 32 | number);
                    while !run_ended.load(Relaxed) && !is_served(from, &nodes, seed, &id, &counters)
                    {
                        seed = seed.wrapping_add(1);
                    }
                }
            })
        })
        .collect()
}

/// Makes and counts one attempt at the node that `seed` picks; returns whether the attempt was
/// served. While no node is ready, nothing is sent or counted.
fn is_served(from: Ipv4Addr, nodes: &Nodes, seed: u64, id: &str, counters: &NoisyCounters) -> bool {
    let Some(SocketAddr::V4(to)) = nodes.pick(seed).and_then(|node| node.parse().ok()) else {
        thread::sleep(Duration::from_millis(5));
        return false;
    };
    counters.attempts.fetch_add(1, Relaxed);
    let status = connect(from, to).and_then(|stream| look_up(stream, id));
    match status {
        Ok(200) => counters.served.fetch_add(1, Relaxed),
        Ok(429 | 503) => counters.shed.fetch_add(1, Relaxed),
        _ => counters.failed.fetch_add(1, Relaxed),
    };
    matches!(status, Ok(200))
}

/// Sends a lookup on this connection and returns the status of its response.
fn look_up(mut stream: TcpStream, id: &str) -> io::Result<u16> {
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let head =
        format!("GET /stock/{id} HTTP/1.1\r\nHost: h\r\nX-Id: {id}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    let mut text = Vec::new();
    stream.read_to_end(&mut text)?;
    let status = text.get(9..12).and_then(|digits| std::str::from_utf8(digits).ok()?.parse().ok());
    status.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Connects from a given local address, which `TcpStream::connect` can't do.
fn connect(from: Ipv4Addr, to: SocketAddrV4) -> io::Result<TcpStream> {
    let socket_address = |address: &Ipv4Addr, port: u16| libc::sockaddr_in {
        sin_family: libc::AF_INET as u16,
        sin_port: port.to_be(),
        sin_addr: libc::in_addr { s_addr: u32::from_ne_bytes(address.octets()) },
        sin_zero: [0; 8],
    };
    let (local, remote) = (socket_address(&from, 0), socket_address(to.ip(), to.port()));
    let length = size_of::<libc::sockaddr_in>() as u32;
    let check = |code: i32| if code == 0 { Ok(()) } else { Err(io::Error::last_os_error()) };
    // SAFETY: both addresses are complete `sockaddr_in` of the given length and outlive the calls;
    // the new socket belongs to `stream` alone, which closes it.
    unsafe {
        let socket = libc::socket(libc::AF_INET, libc::SOCK_STREAM | libc::SOCK_CLOEXEC, 0);
        if socket < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(socket);
        check(libc::bind(socket, std::ptr::from_ref(&local).cast(), length))?;
        check(libc::connect(socket, std::ptr::from_ref(&remote).cast(), length))?;
        Ok(stream)
    }
}
