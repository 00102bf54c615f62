//! Opens a connection to a target.

use super::TargetConnection;
use crate::error::{Result, UpstreamError};
use postbarrow_constants::traffic::{TARGET_CONNECT_MS, TARGET_IDLE_MS};
use postbarrow_downstream::client_watch::{ClientWatch, WaitOutcome};
use postbarrow_transport::{Interest, clock_ms};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};

impl TargetConnection {
    /// Connects to `address` within `TARGET_CONNECT_MS` and by `until_ms` of the boot-time clock;
    /// stops if the client departs.
    ///
    /// # Errors
    /// Returns the reason why no connection was established.
    pub fn open(
        address: SocketAddr,
        until_ms: u64,
        client: &ClientWatch,
    ) -> Result<TargetConnection> {
        let until_ms = until_ms.min(clock_ms() + TARGET_CONNECT_MS);
        let stream = connect(address, until_ms, client)
            .map_err(|error| UpstreamError::Connect(Box::new(error)))?;
        Ok(TargetConnection {
            stream,
            buffer: Vec::new(),
            start: 0,
            unacknowledged_limit_ms: 0,
            awaits_first_response: true,
            last_used_ms: clock_ms(),
            idle_limit_ms: TARGET_IDLE_MS,
        })
    }
}

fn connect(address: SocketAddr, until_ms: u64, client: &ClientWatch) -> Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => return Err(error.into()),
        _ => {}
    }
    let stream = TcpStream::from(socket);
    match client.wait_for(&stream, Interest::Write, until_ms)? {
        WaitOutcome::Ready => Ok(stream.take_error()?.map_or(Ok(stream), Err)?),
        WaitOutcome::ClientDeparted => Err(UpstreamError::ClientDeparted),
        WaitOutcome::TimedOut => Err(io::Error::from(ErrorKind::TimedOut).into()),
    }
}
