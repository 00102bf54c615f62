use super::serve::serve;
use crate::fair::{Counted, is_over_share};
use crate::share::Shared;
use log::warn;
use postbarrow_constants::traffic::{CLIENT_SHARE_PERCENT, DOWNSTREAMS, STACK_BYTES};
use postbarrow_downstream::connection::Connection;
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;

/// Nothing of it was read, so it may be the repeat of one that ran.
const FULL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nPostbarrow-Outcome: unknown\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// Takes client connections, each on a small thread, up to a bound.
pub fn listen(listener: TcpListener, shared: Arc<Shared>) -> std::io::Result<()> {
    thread::Builder::new().name("downstream".into()).spawn(move || {
        for stream in listener.incoming() {
            let mut stream = match stream {
                Ok(stream) => stream,
                Err(error) => {
                    warn!("downstream: accept: {error}");
                    thread::sleep(std::time::Duration::from_millis(10));
                    continue;
                }
            };
            if shared.closed.load(SeqCst) {
                return;
            }
            let Ok(client) = stream.peer_addr().map(|client| client.ip()) else { continue };
            let taken = shared.downstreams.fetch_add(1, SeqCst);
            let own = shared.connections.of(client).load(SeqCst) + 1;
            if taken >= DOWNSTREAMS || is_over_share(taken, own, DOWNSTREAMS, CLIENT_SHARE_PERCENT)
            {
                shared.downstreams.fetch_sub(1, SeqCst);
                let _ = stream.set_nonblocking(true);
                let _ = stream.write_all(FULL);
                continue;
            }
            let here = shared.clone();
            let spawned = thread::Builder::new()
                .name("client".into())
                .stack_size(4 * STACK_BYTES)
                .spawn(move || {
                    let _client = Counted::one(here.connections.of(client));
                    if let Ok(connection) = Connection::new(stream) {
                        serve(connection, &here);
                    }
                    here.downstreams.fetch_sub(1, SeqCst);
                });
            if spawned.is_err() {
                shared.downstreams.fetch_sub(1, SeqCst);
            }
        }
    })?;
    Ok(())
}
