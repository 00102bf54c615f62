//! Phase: after each event the flow decides on the next step; settles tickets and ends the request.

use super::request_state::{RequestEnd, RequestState};
use postbarrow_constants::coordination::SETTLEMENT_WAIT_MS;
use postbarrow_node::{
    Completion, Event, FlowContext, RequestFlow, RequestOutcome, Step, TicketSettlement,
};
use postbarrow_transport::clock_ms;

/// The flow's next step after an event.
pub fn next_step(request: &RequestState<'_>, flow: &mut RequestFlow, event: Event) -> Step {
    let shared = request.shared;
    let table = shared.routing.load_full();
    let context = FlowContext {
        now_ms: clock_ms(),
        table: &table,
        serves: shared.lease.is_valid(),
        number: shared.keys.next_number(),
        client_departed: request.incoming.client.is_known_departed(),
    };
    flow.handle(&context, event)
}

/// Settles the ticket of an attempt and waits until the log has it, at most `wait_ms`.
pub fn settle(request: &RequestState<'_>, settlement: TicketSettlement, wait_ms: u64) -> Event {
    let client = request.incoming.client;
    let response = request.shared.control_loop.request(settlement.into(), wait_ms, client);
    Event::ControllerResponded(response)
}

/// Ends the request: its settlement is sent until the log has it, and its client does not wait for
/// that.
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
