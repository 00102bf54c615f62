//! The invariants of every request.

use crate::search::Violation;
use crate::search::request::Requests;
use crate::search::request::flow::{Phase, Settled, TicketStatus};
use crate::search::request::state::RequestState;
use crate::search::request::wire::Kind;

impl Requests {
    /// Checks that a one-time request runs at most once, that its client receives a true outcome,
    /// that no byte is sent after the client departed, and that its ticket is settled truthfully.
    pub(in crate::search) fn check_request(
        &self,
        state: &RequestState,
        client: usize,
    ) -> Result<(), Violation> {
        let (phase, run_count) = (state.phases[client], state.run_counts[client]);
        if self.kinds[client] == Kind::OneTime && run_count > 1 {
            return Err(Violation(format!("one-time request {client} ran {run_count} times")));
        }
        if matches!(phase, Phase::Answered(for_client) if for_client != client) {
            return Err(Violation(format!(
                "client {client} received the response to another request"
            )));
        }
        let mut connections = state.connections.iter();
        let will_run = connections
            .any(|connection| connection.pending == Some((client, connection.incarnation)));
        if phase == Phase::ReportedNotRun && (run_count > 0 || will_run) {
            return Err(Violation(format!(
                "request {client} was reported as 'not run' and ran, or will run"
            )));
        }
        if state.sent_after_departure[client] {
            return Err(Violation(format!(
                "request {client} was sent after its client had departed"
            )));
        }
        self.check_ticket(state, client, run_count > 0 || will_run)
    }

    /// Checks that a ticket is settled truthfully, and that no finished request has a pending
    /// ticket. `runs` tells whether the request did or will run.
    fn check_ticket(
        &self,
        state: &RequestState,
        client: usize,
        runs: bool,
    ) -> Result<(), Violation> {
        let is_over = !matches!(
            state.phases[client],
            Phase::NotArrived
                | Phase::Connect(_)
                | Phase::RequestTicket
                | Phase::Settle
                | Phase::Forward
        );
        match state.tickets[client] {
            TicketStatus::Pending if is_over => {
                Err(Violation(format!("request {client} ended with a pending ticket")))
            }
            TicketStatus::Settled(Settled::Unsent) if runs && is_over => Err(Violation(format!(
                "request {client} was settled as unsent and ran, or will run"
            ))),
            TicketStatus::Settled(Settled::Ran) if !runs => {
                Err(Violation(format!("request {client} was settled as run and never ran")))
            }
            _ => Ok(()),
        }
    }
}
