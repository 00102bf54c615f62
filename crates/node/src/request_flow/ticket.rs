//! Request ticket, and settle: handles the log's responses about the ticket of a one-time request.
//!
//! A ticket is valid for one target and for [`TICKET_USE_MS`] from the time it was requested. The
//! ticket of an attempt that the target provably did not run is settled as unsent before the
//! request may go to another target, so that at most one ticket of a key may have been used.

use super::{Phase, RequestFlow, Selected, TicketRequest};
use crate::{FlowContext, RequestOutcome, Step, TicketSettlement};
use postbarrow_constants::coordination::TICKET_USE_MS;
use postbarrow_messages::Response;
use postbarrow_state::{Settlement, Ticket};

impl RequestFlow {
    pub(super) fn on_ticket_response(
        &mut self,
        context: &FlowContext<'_>,
        selected: Selected,
        request: TicketRequest,
        response: Response,
    ) -> Step {
        let TicketRequest { ticket, requested_ms } = request;
        if !matches!(response, Response::Granted) {
            return self.on_no_ticket(context, ticket, response);
        }
        self.was_ticketed = true;
        let until_ms = requested_ms + TICKET_USE_MS;
        if context.now_ms < until_ms && self.may_forward(context, &selected.target) {
            self.phase = Phase::Forward(selected, Some(ticket));
            return Step::Forward { wait_ms: self.remaining_ms(context), until_ms };
        }
        self.last_failure = "the ticket came too late for its target".into();
        self.settle_unsent(context, Some(ticket))
    }

    pub(super) fn on_settlement_response(
        &mut self,
        context: &FlowContext<'_>,
        ticket: Ticket,
        response: Response,
    ) -> Step {
        self.on_no_ticket(context, ticket, response)
    }

    /// Handles every response but a grant. If the response does not say whether the ticket was
    /// granted, the log may still grant it; its settlement as unsent is then resent until it is
    /// acknowledged.
    fn on_no_ticket(
        &mut self,
        context: &FlowContext<'_>,
        ticket: Ticket,
        response: Response,
    ) -> Step {
        match response {
            Response::Settled => self.retry(context),
            Response::Known(known) => self.finish(RequestOutcome::Known(known), None),
            Response::OtherDigest => self.finish(RequestOutcome::OtherDigest, None),
            Response::Full => {
                self.was_ticketed = true;
                let reason = "the log has no space for new keys".into();
                self.finish(RequestOutcome::NoTicket(reason), None)
            }
            Response::Refused(reason) => self.finish(RequestOutcome::NoTicket(reason), None),
            _ => {
                let settlement = settlement_without_response(ticket, Settlement::Unsent);
                self.finish(RequestOutcome::TicketUnknown, Some(settlement))
            }
        }
    }

    /// Handles an attempt that the target did not run. Another attempt may follow once the ticket,
    /// if there is one, is settled as unsent. If the client has departed, the request ends without
    /// waiting for the settlement.
    pub(super) fn settle_unsent(
        &mut self,
        context: &FlowContext<'_>,
        ticket: Option<Ticket>,
    ) -> Step {
        if context.client_departed {
            let settlement =
                ticket.map(|ticket| settlement_without_response(ticket, Settlement::Unsent));
            return self.finish(RequestOutcome::ClientDeparted, settlement);
        }
        let Some(ticket) = ticket else { return self.retry(context) };
        self.phase = Phase::SettleTicket(ticket.clone());
        Step::SettleTicket {
            settlement: settlement_without_response(ticket, Settlement::Unsent),
            wait_ms: self.remaining_ms(context).clamp(1, TICKET_USE_MS),
        }
    }
}

/// Returns the settlement of a ticket without a response to store.
pub(super) fn settlement_without_response(
    ticket: Ticket,
    settlement: Settlement,
) -> TicketSettlement {
    TicketSettlement { ticket, settlement, response: None }
}
