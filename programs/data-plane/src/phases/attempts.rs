//! The attempts of a request: runs the phase of each step that `RequestFlow` returns, until the
//! flow is done.

use super::authorise_by_ticket::request_ticket;
use super::connect::connect;
use super::forward::forward;
use super::read_response::read_response;
use super::request_state::{IncomingRequest, RequestEnd, RequestState};
use super::retry_or_finish::{finish, next_step, settle};
use super::select_endpoint::select_service;
use crate::shared::Shared;
use postbarrow_node::{Event, RequestFlow, Step};
use std::sync::Arc;

/// Processes an admitted request until it ends, on the thread of its client connection.
pub fn run(shared: &Arc<Shared>, incoming: IncomingRequest<'_>) -> RequestEnd {
    let (context, entry) = select_service(shared, &incoming);
    let mut request = RequestState::new(shared, &incoming, &entry);
    let mut flow = RequestFlow::new(context, entry);
    let mut event = Event::Start;
    loop {
        event = match next_step(&request, &mut flow, event) {
            Step::Connect { target, load, wait_ms } => connect(&mut request, target, load, wait_ms),
            Step::RequestTicket { ticket, wait_ms } => request_ticket(&request, ticket, wait_ms),
            Step::Forward { wait_ms, until_ms } => {
                Event::AttemptEnded(match forward(&mut request, wait_ms, until_ms) {
                    Ok(forwarded) => read_response(&mut request, forwarded),
                    Err(outcome) => outcome,
                })
            }
            Step::SettleTicket { settlement, wait_ms } => settle(&request, settlement, wait_ms),
            Step::Done { completion, settlement } => {
                return finish(request, completion, settlement);
            }
        };
    }
}
