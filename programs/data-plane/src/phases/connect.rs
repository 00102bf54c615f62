//! Phase: takes an idle connection to the selected target, or opens one.

use super::request_state::RequestState;
use crate::balancing::LoadPermit;
use crate::error::Result;
use crate::target_connection::TargetConnection;
use postbarrow_constants::traffic::IDENTITY_TIMEOUT_MS;
use postbarrow_node::Event;
use postbarrow_routing::Load;
use postbarrow_state::Target;
use postbarrow_transport::clock_ms;
use std::sync::Arc;

/// Connects to the selected target within `wait_ms` milliseconds, and counts the request in the
/// target's load from now on.
pub fn connect(
    request: &mut RequestState<'_>,
    target: Arc<Target>,
    load: Arc<Load>,
    wait_ms: u64,
) -> Event {
    request.attempt.load = Some(LoadPermit::acquire(load.clone()));
    let connection = match request.shared.pools.load().take(&target) {
        Some(connection) => Ok(connection),
        None => open(request, &target, &load, wait_ms),
    };
    request.attempt.target = Some(target);
    match connection {
        Ok(connection) => {
            request.attempt.connection = Some(connection);
            Event::Connected
        }
        Err(error) => {
            request.attempt.load = None;
            Event::ConnectFailed(error.to_string())
        }
    }
}

/// Opens a new connection, and verifies the target's identity on it unless the dialect names the
/// target in each request.
fn open(
    request: &RequestState<'_>,
    target: &Target,
    load: &Load,
    wait_ms: u64,
) -> Result<TargetConnection> {
    let client = request.incoming.client;
    let until_ms = clock_ms() + wait_ms;
    let mut connection = TargetConnection::open(target.address, until_ms, client)?;
    if request.shared.dialect.target_identification().is_none() {
        let until_ms = until_ms.min(clock_ms() + IDENTITY_TIMEOUT_MS);
        load.store_report(connection.identify(target, until_ms, client)?);
    }
    Ok(connection)
}
