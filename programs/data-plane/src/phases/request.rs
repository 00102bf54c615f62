//! Processes one request: runs the phases between reading the head and writing the response, in
//! order.

use super::admit_or_reject::admit;
use super::attempts;
use super::match_route::match_route;
use super::read_body::{read_node_body, read_route_body};
use super::rejection::Rejection;
use super::request_state::{IncomingRequest, RequestEnd};
use crate::coordination;
use crate::dialect::{ListenerRole, NodeEndpoint};
use crate::readiness::{READINESS_METHODS, readiness};
use crate::shared::Shared;
use postbarrow_constants::traffic::HEAD_BYTES;
use postbarrow_downstream::connection::Connection;
use postbarrow_downstream::head::Head;
use postbarrow_transport::clock_ms;
use std::sync::Arc;

/// Processes a request whose head was read at an address with this role, and returns how it ended.
///
/// # Errors
/// Returns the rejection of a request whose body was not read completely.
pub fn process(
    connection: &mut Connection,
    role: ListenerRole,
    shared: &Arc<Shared>,
    head: &Head,
) -> Result<RequestEnd, Rejection> {
    match (shared.dialect.node_endpoint(role, head), role) {
        (Some(endpoint), _) => serve_node_endpoint(connection, shared, head, endpoint),
        (None, ListenerRole::Clients) => serve_route(connection, shared, head),
        (None, ListenerRole::Readiness) => Err(Rejection::without_run(
            shared,
            head,
            404,
            "only the readiness check is served here",
        )),
    }
}

/// Forwards a client's request to a target of its route.
fn serve_route(
    connection: &mut Connection,
    shared: &Arc<Shared>,
    head: &Head,
) -> Result<RequestEnd, Rejection> {
    let arrived_ms = clock_ms();
    let route = match_route(shared, head)?;
    let _permits = admit(shared, &route, head, connection.client())?;
    let body = read_route_body(connection, shared, head, &route, arrived_ms)?;
    let has_body = !body.bytes.is_empty();
    let start_ms = if route.is_one_time() || has_body { clock_ms() } else { arrived_ms };
    let incoming = IncomingRequest {
        entry: route.entry.clone(),
        head,
        body: body.bytes,
        start_ms,
        arrived_ms,
        client: &connection.watch(),
    };
    Ok(attempts::run(shared, incoming))
}

/// Serves a request to an endpoint of the node itself.
fn serve_node_endpoint(
    connection: &mut Connection,
    shared: &Arc<Shared>,
    head: &Head,
    endpoint: NodeEndpoint,
) -> Result<RequestEnd, Rejection> {
    let response = match endpoint {
        NodeEndpoint::Ready => {
            check_readiness_method(shared, head)?;
            read_node_body(connection, shared, head, HEAD_BYTES as u64)?;
            readiness(shared)
        }
        NodeEndpoint::Coordination => {
            let body = read_node_body(connection, shared, head, coordination::BODY_BYTES)?;
            coordination::serve(shared, head, &body.bytes, &connection.watch())
        }
    };
    Ok(RequestEnd::Respond(response, None))
}

/// Rejects a request to the readiness endpoint with a method other than those of
/// [`READINESS_METHODS`]: a success would state that the request had an effect.
fn check_readiness_method(shared: &Shared, head: &Head) -> Result<(), Rejection> {
    if READINESS_METHODS.contains(&head.method.as_str()) {
        return Ok(());
    }
    let reason = "the readiness check has another method";
    let rejection = Rejection::without_run(shared, head, 405, reason);
    Err(rejection.with_header("Allow", &READINESS_METHODS.join(", ")))
}
