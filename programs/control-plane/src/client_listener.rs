//! Accepts the connections of operators and applications, and serves each on a thread of its own
//! with a small stack.

use crate::RequestSender;
use crate::client_handler::{ClientHandler, ClientRequest};
use crate::member_health::HEALTH_PATH;
use log::warn;
use postbarrow_constants::plans::PLAN_TEXT_BYTES;
use postbarrow_constants::traffic::{BODY_WAIT_MS, CLIENT_CONNECTIONS, STACK_BYTES};
use postbarrow_downstream::body::{self, Body};
use postbarrow_downstream::connection::{Connection, NextRequest, ReadLimits};
use postbarrow_downstream::head::{Head, Reject};
use postbarrow_downstream::memory_budget::MemoryBudget;
use postbarrow_node::TargetResponse;
use postbarrow_transport::{clock_ms, spawn_essential};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

/// The number of plans of the largest size whose bodies fit in memory at once.
const CONCURRENT_PLANS: u64 = 2;
/// Pause after a failed accept in milliseconds, so that the loop doesn't spin while file
/// descriptors are exhausted.
const ACCEPT_RETRY_MS: u64 = 10;

/// Binds the listener and serves clients on it; returns the bound address.
///
/// # Errors
/// The address can't be bound, or the thread can't be started.
pub fn listen_for_clients(
    address: SocketAddr,
    request_sender: RequestSender,
    handler: Arc<dyn ClientHandler>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let client_listener = ClientListener {
        request_sender,
        handler,
        body_memory: MemoryBudget::new(CONCURRENT_PLANS * PLAN_TEXT_BYTES as u64),
        connections: Arc::default(),
    };
    spawn_essential("clients", move || client_listener.accept(&listener))?;
    Ok(address)
}

#[derive(Clone)]
struct ClientListener {
    request_sender: RequestSender,
    handler: Arc<dyn ClientHandler>,
    body_memory: Arc<MemoryBudget>,
    /// The number of connections, each with a thread of its own.
    connections: Arc<AtomicUsize>,
}

impl ClientListener {
    fn accept(self, listener: &TcpListener) {
        for stream in listener.incoming() {
            let stream = match stream {
                Ok(stream) => stream,
                Err(error) => {
                    warn!("client listener: accept failed error={error}");
                    thread::sleep(Duration::from_millis(ACCEPT_RETRY_MS));
                    continue;
                }
            };
            if self.connections.load(Relaxed) >= CLIENT_CONNECTIONS {
                continue;
            }
            self.connections.fetch_add(1, Relaxed);
            let client_listener = self.clone();
            let spawned = thread::Builder::new()
                .name("client".into())
                .stack_size(4 * STACK_BYTES)
                .spawn(move || {
                    client_listener.serve(stream);
                    client_listener.connections.fetch_sub(1, Relaxed);
                });
            if spawned.is_err() {
                self.connections.fetch_sub(1, Relaxed);
            }
        }
    }

    /// Serves one connection until either side closes it.
    fn serve(&self, stream: TcpStream) {
        let Ok(mut connection) = Connection::new(stream) else { return };
        loop {
            let is_stopping = || self.request_sender.is_stopping();
            let head = match connection.next_request(ReadLimits::default(), is_stopping) {
                NextRequest::Head(head) => head,
                NextRequest::Closed => return,
                NextRequest::Reject(reject) => return self.reject(&mut connection, reject),
            };
            let _pending = self.request_sender.start_request();
            let body = match self.read_body(&mut connection, &head) {
                Ok(body) => body,
                Err(reject) => return self.reject(&mut connection, reject),
            };
            let response = self.answer(&ClientRequest {
                head: &head,
                body: &body.bytes,
                request_sender: &self.request_sender,
                client: &connection.watch(),
            });
            let close = head.close || self.request_sender.is_stopping();
            if connection.write(&response, &head.method, close).is_err() || close {
                return;
            }
        }
    }

    /// Returns the response of the dialect, or that of the health check. While this member can't
    /// apply the log, a response that no controller is available says so.
    fn answer(&self, request: &ClientRequest<'_>) -> TargetResponse {
        let failure = self.request_sender.health().failure_text();
        if request.head.path() == HEALTH_PATH {
            return match (request.head.method.as_str(), failure) {
                ("GET" | "HEAD", None) => health_response(200),
                ("GET" | "HEAD", Some(failure)) => self.handler.reject(503, &failure),
                _ => self.handler.reject(405, "another method"),
            };
        }
        let mut response = self.handler.answer(request);
        if let Some(failure) = failure.filter(|_| response.status == 503) {
            response.body = self.handler.reject(503, &failure).body;
        }
        response
    }

    fn read_body(&self, connection: &mut Connection, head: &Head) -> Result<Body, Reject> {
        if head.expects_continue && connection.send_continue().is_err() {
            return Err(body::CLIENT_DEPARTED);
        }
        let deadline_ms = clock_ms() + BODY_WAIT_MS;
        body::read(connection, head.framing, PLAN_TEXT_BYTES as u64, &self.body_memory, deadline_ms)
    }

    fn reject(&self, connection: &mut Connection, reject: Reject) {
        if reject != body::CLIENT_DEPARTED {
            let response = self.handler.reject(reject.status, reject.reason);
            let _ = connection.write(&response, "GET", true);
            connection.close_after_rejection();
        }
    }
}

fn health_response(status: u16) -> TargetResponse {
    let headers = vec![("Content-Type".to_string(), "application/json".to_string())];
    TargetResponse { status, headers, body: b"{}".to_vec() }
}

#[cfg(test)]
mod tests;
