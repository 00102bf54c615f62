//! Request ticket, and settle: what the log says to a one-time request.
//!
//! A ticket is good for one target and for [`TICKET_USE_MS`] from its request. An attempt that the
//! target provably did not run is settled as unsent before another target may get the request, so
//! that at most one ticket of a key may have been used.

use super::{Phase, RequestFlow, Selected, TicketRequest};
use crate::{FlowContext, RequestOutcome, Step, TicketSettlement};
use postbarrow_constants::coordination::TICKET_USE_MS;
use postbarrow_messages::Response;
use postbarrow_state::{Settlement, Ticket};

impl RequestFlow {
    pub(super) fn on_ticket_response(
        &mut self,
        now: &FlowContext<'_>,
        selected: Selected,
        request: TicketRequest,
        response: Response,
    ) -> Step {
        let TicketRequest { ticket, requested_ms } = request;
        if !matches!(response, Response::Granted) {
            return self.on_no_ticket(now, ticket, response);
        }
        self.was_ticketed = true;
        let until_ms = requested_ms + TICKET_USE_MS;
        if now.now_ms < until_ms && self.may_forward(now, &selected.target) {
            self.phase = Phase::Forward(selected, Some(ticket));
            return Step::Forward { wait_ms: self.remaining_ms(now), until_ms };
        }
        self.last_failure = "the ticket came too late for its target".into();
        self.settle_unsent(now, Some(ticket))
    }

    pub(super) fn on_settlement_response(
        &mut self,
        now: &FlowContext<'_>,
        ticket: Ticket,
        response: Response,
    ) -> Step {
        self.on_no_ticket(now, ticket, response)
    }

    /// Every response but a grant. Where the controller said nothing of the ticket, it may yet be
    /// granted, so its settlement is requested until it is acknowledged.
    fn on_no_ticket(&mut self, now: &FlowContext<'_>, ticket: Ticket, response: Response) -> Step {
        match response {
            Response::Settled => self.retry(now),
            Response::Known(known) => self.finish(RequestOutcome::Known(known), None),
            Response::OtherDigest => self.finish(RequestOutcome::OtherDigest, None),
            Response::Full => {
                self.was_ticketed = true;
                let reason = "the log has no space for new keys".into();
                self.finish(RequestOutcome::NoTicket(reason), None)
            }
            Response::Refused(reason) => self.finish(RequestOutcome::NoTicket(reason), None),
            _ => {
                let unsent = settlement_of(ticket, Settlement::Unsent);
                self.finish(RequestOutcome::TicketUnknown, Some(unsent))
            }
        }
    }

    /// No target ran it. A further attempt may follow once its ticket, if it has one, is settled;
    /// nobody awaits that where the client has departed.
    pub(super) fn settle_unsent(&mut self, now: &FlowContext<'_>, ticket: Option<Ticket>) -> Step {
        if now.client_departed {
            let unsent = ticket.map(|ticket| settlement_of(ticket, Settlement::Unsent));
            return self.finish(RequestOutcome::ClientDeparted, unsent);
        }
        let Some(ticket) = ticket else { return self.retry(now) };
        self.phase = Phase::SettleTicket(ticket.clone());
        Step::SettleTicket {
            settlement: settlement_of(ticket, Settlement::Unsent),
            wait_ms: self.remaining_ms(now).clamp(1, TICKET_USE_MS),
        }
    }
}

/// The end of a ticket without a response to store.
pub(super) fn settlement_of(ticket: Ticket, settlement: Settlement) -> TicketSettlement {
    TicketSettlement { ticket, settlement, response: None }
}
