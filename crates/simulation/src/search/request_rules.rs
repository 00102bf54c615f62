//! What must hold of every request.

use super::request::Requests;
use super::request_flow::{Phase, Settled, TicketEnd};
use super::request_state::RequestState;
use super::request_wire::Kind;

impl Requests {
    /// It runs as often as it may, what it is told is true, and nothing goes out for nobody.
    pub(super) fn check_request(&self, state: &RequestState, client: usize) -> Result<(), String> {
        let (phase, ran) = (state.phases[client], state.ran[client]);
        if self.kinds[client] == Kind::OneTime && ran > 1 {
            return Err(format!("request {client} ran {ran} times"));
        }
        if matches!(phase, Phase::Answered(for_client) if for_client != client) {
            return Err(format!("client {client} got another request's answer"));
        }
        let mut connections = state.connections.iter();
        let will_run = connections
            .any(|connection| connection.pending == Some((client, connection.incarnation)));
        if phase == Phase::ReportedNotRun && (ran > 0 || will_run) {
            return Err(format!("request {client} was told 'not run' and ran, or will"));
        }
        if state.sent_after_departure[client] {
            return Err(format!("request {client} went out after its client had left"));
        }
        self.check_ticket(state, client, ran > 0 || will_run)
    }

    /// A ticket is settled with the truth, and none is left open by a request that ended.
    fn check_ticket(&self, state: &RequestState, client: usize, runs: bool) -> Result<(), String> {
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
                Err(format!("the ticket of request {client} stays open"))
            }
            TicketEnd::Settled(Settled::Unsent) if runs && is_over => {
                Err(format!("request {client} was settled as unsent and ran, or will"))
            }
            TicketEnd::Settled(Settled::Ran) if !runs => {
                Err(format!("request {client} was settled as run and never ran"))
            }
            _ => Ok(()),
        }
    }
}
