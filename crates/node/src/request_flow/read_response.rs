//! Read response: handles the end of an attempt for the target, the ticket and the request.

use super::ticket::settlement_without_response;
use super::{RequestFlow, Selected};
use crate::{AttemptOutcome, FlowContext, RequestOutcome, Step, TicketSettlement};
use postbarrow_state::{Settlement, Ticket};

impl RequestFlow {
    /// Handles the end of an attempt. A complete response ends the request and any ejection of the
    /// target. A rejection ejects the target briefly. If the target may have run the request, the
    /// target is ejected, and the request is retried only if it may run more than once and the time
    /// for the response has not passed.
    pub(super) fn on_attempt_ended(
        &mut self,
        context: &FlowContext<'_>,
        selected: &Selected,
        ticket: Option<Ticket>,
        outcome: AttemptOutcome,
    ) -> Step {
        match outcome {
            AttemptOutcome::Complete(response) => {
                selected.load.on_success();
                let settlement = ticket.map(|ticket| TicketSettlement {
                    ticket,
                    settlement: Settlement::Ran,
                    response: response.stored(),
                });
                self.finish(RequestOutcome::Complete(response), settlement)
            }
            AttemptOutcome::NotRun(reason) => {
                selected.load.on_rejection(context.now_ms);
                self.last_failure = reason;
                self.settle_unsent(context, ticket)
            }
            AttemptOutcome::Unsent(reason) => {
                self.last_failure = reason;
                self.settle_unsent(context, ticket)
            }
            AttemptOutcome::Unknown { timed_out, reason } => {
                self.may_have_run = true;
                if context.client_departed {
                    return self.finish_unknown(RequestOutcome::ClientDeparted, ticket);
                }
                selected.load.on_failure(context.now_ms);
                if timed_out {
                    return self.finish_unknown(RequestOutcome::TargetTimedOut(reason), ticket);
                }
                if self.is_one_time() {
                    return self.finish_unknown(RequestOutcome::TargetFailed(reason), ticket);
                }
                self.last_failure = reason;
                self.retry(context)
            }
        }
    }

    fn finish_unknown(&mut self, outcome: RequestOutcome, ticket: Option<Ticket>) -> Step {
        let settlement =
            ticket.map(|ticket| settlement_without_response(ticket, Settlement::Unknown));
        self.finish(outcome, settlement)
    }
}
