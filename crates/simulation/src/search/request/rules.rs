//! Invariants of every request.

use crate::search::Violation;
use crate::search::request::Requests;
use crate::search::request::flow::{Phase, Settled, TicketEnd};
use crate::search::request::state::RequestState;
use crate::search::request::wire::Kind;

impl Requests {
    /// It runs at most as often as it may, its client's report is true, and nothing is sent after a
    /// departure.
    pub(in crate::search) fn check_request(
        &self,
        state: &RequestState,
        client: usize,
    ) -> Result<(), Violation> {
        let (phase, ran) = (state.phases[client], state.ran[client]);
        if self.kinds[client] == Kind::OneTime && ran > 1 {
            return Err(Violation(format!("request {client} ran {ran} times")));
        }
        if matches!(phase, Phase::Answered(for_client) if for_client != client) {
            return Err(Violation(format!("client {client} got another request's answer")));
        }
        let mut connections = state.connections.iter();
        let will_run = connections
            .any(|connection| connection.pending == Some((client, connection.incarnation)));
        if phase == Phase::ReportedNotRun && (ran > 0 || will_run) {
            return Err(Violation(format!(
                "request {client} was reported as 'not run' and ran, or will run"
            )));
        }
        if state.sent_after_departure[client] {
            return Err(Violation(format!(
                "request {client} was sent after its client had departed"
            )));
        }
        self.check_ticket(state, client, ran > 0 || will_run)
    }

    /// A ticket is settled truthfully, and no finished request has a pending ticket.
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
            TicketEnd::Pending if is_over => {
                Err(Violation(format!("the ticket of request {client} stays open")))
            }
            TicketEnd::Settled(Settled::Unsent) if runs && is_over => Err(Violation(format!(
                "request {client} was settled as unsent and ran, or will run"
            ))),
            TicketEnd::Settled(Settled::Ran) if !runs => {
                Err(Violation(format!("request {client} was settled as run and never ran")))
            }
            _ => Ok(()),
        }
    }
}
