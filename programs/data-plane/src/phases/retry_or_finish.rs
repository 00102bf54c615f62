//! Phase: passes each event to the flow, which decides on the next step; settles tickets and
//! finishes the request.

use super::request_state::{RequestEnd, RequestState};
use postbarrow_constants::coordination::SETTLEMENT_WAIT_MS;
use postbarrow_node::{
    Completion, Event, FlowContext, RequestFlow, RequestOutcome, Step, TicketSettlement,
};
use postbarrow_transport::clock_ms;

/// Passes an event to the flow and returns its next step.
pub fn next_step(request: &RequestState<'_>, flow: &mut RequestFlow, event: Event) -> Step {
    let shared = request.shared;
    let table = shared.routing.load_full();
    let context = FlowContext {
        now_ms: clock_ms(),
        table: &table,
        has_lease: shared.lease.is_valid(),
        ticket_number: shared.keys.next_number(),
        client_departed: request.incoming.client.is_known_departed(),
    };
    flow.handle(&context, event)
}

/// Settles the ticket of an attempt, and waits at most `wait_ms` milliseconds until the settlement
/// is in the log.
pub fn settle(request: &RequestState<'_>, settlement: TicketSettlement, wait_ms: u64) -> Event {
    let client = request.incoming.client;
    let response = request.shared.control_loop.request(settlement.into(), wait_ms, client);
    Event::ControllerResponded(response)
}

/// Finishes the request. Its settlement is resent in the background until it is in the log or
/// `SETTLEMENT_WAIT_MS` has passed; the client's response does not wait for that.
pub fn finish(
    request: RequestState<'_>,
    completion: Completion,
    settlement: Option<TicketSettlement>,
) -> RequestEnd {
    let shared = request.shared;
    if let Some(settlement) = settlement {
        shared.control_loop.notify(settlement.into(), SETTLEMENT_WAIT_MS);
    }
    match completion.outcome {
        RequestOutcome::ClientDeparted => RequestEnd::ClientDeparted,
        _ => {
            let response = shared.dialect.render_completion(completion);
            RequestEnd::Respond(response, request.response_memory)
        }
    }
}
