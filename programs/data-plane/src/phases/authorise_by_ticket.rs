//! Phase: obtains the ticket of a one-time request from the replicated log, so that the request
//! runs at most once.

use super::request_state::RequestState;
use postbarrow_messages::Request;
use postbarrow_node::Event;
use postbarrow_state::Ticket;

/// Requests the ticket from the controller and waits at most `wait_ms` milliseconds for the
/// decision.
pub fn request_ticket(request: &RequestState<'_>, ticket: Ticket, wait_ms: u64) -> Event {
    let ticket = Request::Ticket(ticket);
    let client = request.incoming.client;
    Event::ControllerResponded(request.shared.control_loop.request(ticket, wait_ms, client))
}
