//! The door of a control node: connections of operators and applications, each on a small thread.

use crate::RequestSender;
use log::warn;
use postbarrow_constants::plans::PLAN_TEXT_BYTES;
use postbarrow_constants::traffic::{BODY_WAIT_MS, CLIENT_CONNECTIONS, STACK_BYTES};
use postbarrow_downstream::body::{self, Body};
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::connection::{Connection, NextRequest, ReadLimits};
use postbarrow_downstream::head::{Head, Reject};
use postbarrow_downstream::memory_budget::MemoryBudget;
use postbarrow_node::TargetResponse;
use postbarrow_transport::clock_ms;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

/// Plans that may be under way at one door at once.
const CONCURRENT_PLANS: u64 = 2;
/// Pause after a connection that could not be taken.
const ACCEPT_RETRY_MS: u64 = 10;

/// What the callers of a door speak.
pub trait ClientHandler: Send + Sync {
    /// Answers a request that was read whole.
    fn answer(&self, request: &ClientRequest<'_>) -> TargetResponse;

    /// Answers one that could not be read.
    fn reject(&self, status: u16, why: &str) -> TargetResponse;
}

/// A request at the door, read whole.
pub struct ClientRequest<'a> {
    /// Its head.
    pub head: &'a Head,
    /// Its whole body.
    pub body: &'a [u8],
    /// Asks the controller.
    pub requests: &'a RequestSender,
    /// Tells whether the caller still waits.
    pub client: &'a ClientWatch<'a>,
}

impl ClientRequest<'_> {
    /// A value in the query, as it stands there; empty where there is only the name.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.head.query().split('&');
        let mut pairs = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
        pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
    }
}

/// Opens the door; gives back where it is.
///
/// # Errors
/// The address can't be bound.
pub fn listen_for_clients(
    address: SocketAddr,
    asker: RequestSender,
    callers: Arc<dyn ClientHandler>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let door = ClientListener {
        asker,
        callers,
        bodies: MemoryBudget::new(CONCURRENT_PLANS * PLAN_TEXT_BYTES as u64),
        open: Arc::default(),
    };
    thread::Builder::new().name("door".into()).spawn(move || door.accept(&listener))?;
    Ok(address)
}

#[derive(Clone)]
struct ClientListener {
    asker: RequestSender,
    callers: Arc<dyn ClientHandler>,
    bodies: Arc<MemoryBudget>,
    /// Connections that are open.
    open: Arc<AtomicUsize>,
}

impl ClientListener {
    fn accept(self, listener: &TcpListener) {
        for stream in listener.incoming() {
            let stream = match stream {
                Ok(stream) => stream,
                Err(error) => {
                    warn!("door: accept: {error}");
                    thread::sleep(Duration::from_millis(ACCEPT_RETRY_MS));
                    continue;
                }
            };
            if self.open.load(Relaxed) >= CLIENT_CONNECTIONS {
                continue;
            }
            self.open.fetch_add(1, Relaxed);
            let door = self.clone();
            let spawned = thread::Builder::new()
                .name("caller".into())
                .stack_size(4 * STACK_BYTES)
                .spawn(move || {
                    door.serve(stream);
                    door.open.fetch_sub(1, Relaxed);
                });
            if spawned.is_err() {
                self.open.fetch_sub(1, Relaxed);
            }
        }
    }

    /// Serves one connection until either side ends it.
    fn serve(&self, stream: TcpStream) {
        let Ok(mut connection) = Connection::new(stream) else { return };
        loop {
            let head =
                match connection.next_request(ReadLimits::default(), || self.asker.is_stopping()) {
                    NextRequest::Head(head) => head,
                    NextRequest::Closed => return,
                    NextRequest::Reject(reject) => return self.reject(&mut connection, reject),
                };
            let _at_work = self.asker.start_request();
            let body = match self.read_body(&mut connection, &head) {
                Ok(body) => body,
                Err(reject) => return self.reject(&mut connection, reject),
            };
            let response = self.callers.answer(&ClientRequest {
                head: &head,
                body: &body.bytes,
                requests: &self.asker,
                client: &connection.watch(),
            });
            let close = head.close || self.asker.is_stopping();
            if connection.write(&response, &head.method, close).is_err() || close {
                return;
            }
        }
    }

    fn read_body(&self, connection: &mut Connection, head: &Head) -> Result<Body, Reject> {
        if head.expects_continue && connection.send_continue().is_err() {
            return Err(body::CLIENT_DEPARTED);
        }
        let until_ms = clock_ms() + BODY_WAIT_MS;
        body::read(connection, head.length, PLAN_TEXT_BYTES as u64, &self.bodies, until_ms)
    }

    fn reject(&self, connection: &mut Connection, reject: Reject) {
        if reject != body::CLIENT_DEPARTED {
            let response = self.callers.reject(reject.status, reject.reason);
            let _ = connection.write(&response, "GET", true);
            connection.linger();
        }
    }
}

#[cfg(test)]
mod tests;
