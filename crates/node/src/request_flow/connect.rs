//! Connect: the connection to the selected target is there, or is not.

use super::{Phase, RequestFlow, Selected, TicketRequest};
use crate::{FlowContext, RequestOutcome, Step};
use postbarrow_constants::coordination::TICKET_USE_MS;
use postbarrow_state::{Target, Ticket};

impl RequestFlow {
    /// A one-time request needs a ticket before it is forwarded; any other is forwarded at once.
    pub(super) fn on_connected(&mut self, now: &FlowContext<'_>, selected: Selected) -> Step {
        if !self.is_one_time() || !self.context.uses_ticket_log {
            if !self.may_forward(now, &selected.target) {
                return self.select_target(now);
            }
            self.phase = Phase::Forward(selected, None);
            return Step::Forward { wait_ms: self.remaining_ms(now), until_ms: u64::MAX };
        }
        if now.client_departed {
            return self.finish(RequestOutcome::ClientDeparted, None);
        }
        let ticket = self.ticket_for(&selected.target, now.number);
        let request = TicketRequest { ticket: ticket.clone(), requested_ms: now.now_ms };
        self.phase = Phase::RequestTicket(selected, request);
        Step::RequestTicket { ticket, wait_ms: self.remaining_ms(now).min(TICKET_USE_MS) }
    }

    /// The target is ejected, unless the attempt ended because the client departed.
    pub(super) fn on_connect_failed(
        &mut self,
        now: &FlowContext<'_>,
        selected: &Selected,
        reason: String,
    ) -> Step {
        if !now.client_departed {
            selected.load.on_failure(now.now_ms);
        }
        self.last_failure = reason;
        self.retry(now)
    }

    /// Whether lease, image, deadline and client still allow a request to this target.
    pub(super) fn may_forward(&self, now: &FlowContext<'_>, target: &Target) -> bool {
        let is_allowed = now.table.allows(&self.entry.route().service, &target.instance);
        now.serves && is_allowed && self.remaining_ms(now) > 0 && !now.client_departed
    }

    fn ticket_for(&self, target: &Target, number: u64) -> Ticket {
        Ticket {
            key: self.context.key.clone(),
            digest: self.context.digest,
            service: self.entry.route().service.clone(),
            instance: target.instance.clone(),
            node: self.context.node,
            number,
            settlement: None,
            response: None,
            era: 0,
        }
    }
}
