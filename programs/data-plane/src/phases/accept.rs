//! Phase: accepts client connections, each on a small thread, up to a limit.

use super::client_connection;
use crate::admission::{Permit, admit_connection, release_connection};
use crate::shared::Shared;
use log::warn;
use postbarrow_constants::traffic::STACK_BYTES;
use postbarrow_downstream::connection::Connection;
use std::io::{self, Write};
use std::net::{IpAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The response over capacity. The request is not read, so it may be the repeat of one that ran.
const OVERLOADED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nPostbarrow-Outcome: unknown\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
/// Pause after a failed accept, so that a lack of file descriptors doesn't spin.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Accepts connections on a thread of its own until the node is closed.
///
/// # Errors
/// The thread can't be started.
pub fn listen(listener: TcpListener, shared: Arc<Shared>) -> io::Result<()> {
    thread::Builder::new().name("downstream".into()).spawn(move || {
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
                spawn(stream, client, &shared);
            } else {
                shed(stream);
            }
        }
    })?;
    Ok(())
}

fn shed(mut stream: TcpStream) {
    let _ = stream.set_nonblocking(true);
    let _ = stream.write_all(OVERLOADED);
}

/// Serves an admitted connection on a thread of its own.
fn spawn(stream: TcpStream, client: IpAddr, shared: &Arc<Shared>) {
    let served = shared.clone();
    let spawned =
        thread::Builder::new().name("client".into()).stack_size(4 * STACK_BYTES).spawn(move || {
            let counters = &served.admission;
            let _client = Permit::acquire(counters.connections_by_client.of(client));
            if let Ok(connection) = Connection::new(stream) {
                client_connection::serve(connection, &served);
            }
            release_connection(counters);
        });
    if spawned.is_err() {
        release_connection(&shared.admission);
    }
}
