//! Connect: handles the result of the connection to the selected target.

use super::{Phase, RequestFlow, Selected, TicketRequest};
use crate::{FlowContext, RequestOutcome, Step};
use postbarrow_constants::coordination::TICKET_USE_MS;
use postbarrow_state::{Target, Ticket};

impl RequestFlow {
    /// Requests a ticket for a one-time request if it needs one from the log. Forwards any other
    /// request at once, or selects another target if the request may no longer be forwarded to this
    /// one.
    pub(super) fn on_connected(&mut self, context: &FlowContext<'_>, selected: Selected) -> Step {
        if !self.is_one_time() || !self.request_context.uses_ticket_log {
            if !self.may_forward(context, &selected.target) {
                return self.select_target(context);
            }
            self.phase = Phase::Forward(selected, None);
            return Step::Forward { wait_ms: self.remaining_ms(context), until_ms: u64::MAX };
        }
        if context.client_departed {
            return self.finish(RequestOutcome::ClientDeparted, None);
        }
        let ticket = self.ticket_for(&selected.target, context.ticket_number);
        let request = TicketRequest { ticket: ticket.clone(), requested_ms: context.now_ms };
        self.phase = Phase::RequestTicket(selected, request);
        Step::RequestTicket { ticket, wait_ms: self.remaining_ms(context).min(TICKET_USE_MS) }
    }

    /// Ejects the target, unless the attempt ended because the client departed, then retries if
    /// allowed.
    pub(super) fn on_connect_failed(
        &mut self,
        context: &FlowContext<'_>,
        selected: &Selected,
        reason: String,
    ) -> Step {
        if !context.client_departed {
            selected.load.on_failure(context.now_ms);
        }
        self.last_failure = reason;
        self.retry(context)
    }

    /// Returns whether the request may still be forwarded to this target: the node has a lease,
    /// the current image allows the target, the deadline has not passed and the client has not
    /// departed.
    pub(super) fn may_forward(&self, context: &FlowContext<'_>, target: &Target) -> bool {
        let is_allowed = context.table.allows(&self.entry.route().service, &target.instance);
        context.has_lease
            && is_allowed
            && self.remaining_ms(context) > 0
            && !context.client_departed
    }

    fn ticket_for(&self, target: &Target, number: u64) -> Ticket {
        Ticket {
            key: self.request_context.key.clone(),
            digest: self.request_context.digest,
            service: self.entry.route().service.clone(),
            instance: target.instance.clone(),
            node: self.request_context.node,
            number,
            settlement: None,
            response: None,
            era: 0,
        }
    }
}
