//! Phase: accepts client connections up to a limit, and serves each on a thread with a small stack.

use super::client_connection;
use crate::admission::{Permit, admit_connection, release_connection};
use crate::dialect::ListenerRole;
use crate::shared::Shared;
use log::warn;
use postbarrow_constants::traffic::STACK_BYTES;
use postbarrow_downstream::connection::Connection;
use postbarrow_transport::spawn_essential;
use std::io::{self, Write};
use std::net::{IpAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The response to a connection that is not admitted. The outcome is unknown because the request is
/// not read: it may repeat a request that ran.
const OVERLOADED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nPostbarrow-Outcome: unknown\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
/// Pause after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Accepts connections on a new thread until the node is closed to new connections. `role` states
/// which requests the connections may carry.
///
/// # Errors
/// Fails if the thread can't be started.
pub fn listen(listener: TcpListener, role: ListenerRole, shared: Arc<Shared>) -> io::Result<()> {
    spawn_essential("downstream", move || {
        for stream in listener.incoming() {
            let stream = match stream {
                Ok(stream) => stream,
                Err(error) => {
                    warn!("downstream: accept failed error={error}");
                    thread::sleep(ACCEPT_RETRY);
                    continue;
                }
            };
            if shared.lifecycle.is_closed() {
                return;
            }
            let Ok(client) = stream.peer_addr().map(|client| client.ip()) else { continue };
            if admit_connection(&shared.admission, client) {
                spawn(stream, client, role, &shared);
            } else {
                shed(stream);
            }
        }
    })?;
    Ok(())
}

/// Sends [`OVERLOADED`] without blocking and closes the connection.
fn shed(mut stream: TcpStream) {
    let _ = stream.set_nonblocking(true);
    let _ = stream.write_all(OVERLOADED);
}

/// Serves an admitted connection on a new thread, and releases it afterwards.
fn spawn(stream: TcpStream, client: IpAddr, role: ListenerRole, shared: &Arc<Shared>) {
    let connection_shared = shared.clone();
    let spawned =
        thread::Builder::new().name("client".into()).stack_size(4 * STACK_BYTES).spawn(move || {
            let counters = &connection_shared.admission;
            let _permit = Permit::acquire(counters.connections_by_client.for_client(client));
            if let Ok(connection) = Connection::new(stream) {
                client_connection::serve(connection, role, &connection_shared);
            }
            release_connection(counters);
        });
    if spawned.is_err() {
        release_connection(&shared.admission);
    }
}
