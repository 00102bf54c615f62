//! Read response: how the attempt ended, and what that means for target, ticket and request.

use super::ticket::settlement_of;
use super::{RequestFlow, Selected};
use crate::{AttemptOutcome, FlowContext, RequestOutcome, Step, TicketSettlement};
use postbarrow_state::{Settlement, Ticket};

impl RequestFlow {
    /// A complete response ends the request and an ejection; a rejection passes over the target
    /// briefly; whatever may have run ejects it, and is tried again only where it may run twice.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: &FlowContext<'_>,
        selected: &Selected,
        ticket: Option<Ticket>,
        outcome: AttemptOutcome,
    ) -> Step {
        match outcome {
            AttemptOutcome::Complete(response) => {
                selected.load.on_success();
                let settled = ticket.map(|ticket| TicketSettlement {
                    ticket,
                    settlement: Settlement::Ran,
                    response: response.stored(),
                });
                self.finish(RequestOutcome::Complete(response), settled)
            }
            AttemptOutcome::NotRun(reason) => {
                selected.load.on_rejection(now.now_ms);
                self.last_failure = reason;
                self.settle_unsent(now, ticket)
            }
            AttemptOutcome::Unsent(reason) => {
                self.last_failure = reason;
                self.settle_unsent(now, ticket)
            }
            AttemptOutcome::Unknown { late, reason } => {
                self.may_have_run = true;
                if now.client_departed {
                    return self.finish_unknown(RequestOutcome::ClientDeparted, ticket);
                }
                selected.load.on_failure(now.now_ms);
                if late {
                    return self.finish_unknown(RequestOutcome::TargetTimedOut(reason), ticket);
                }
                if self.is_one_time() {
                    return self.finish_unknown(RequestOutcome::TargetFailed(reason), ticket);
                }
                self.last_failure = reason;
                self.retry(now)
            }
        }
    }

    fn finish_unknown(&mut self, outcome: RequestOutcome, ticket: Option<Ticket>) -> Step {
        let unknown = ticket.map(|ticket| settlement_of(ticket, Settlement::Unknown));
        self.finish(outcome, unknown)
    }
}
