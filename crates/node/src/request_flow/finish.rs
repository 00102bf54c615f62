//! Finish: returns the completion for the client and the ticket's settlement for the log.

use super::ticket::settlement_without_response;
use super::{Phase, RequestFlow, TicketRequest};
use crate::{Completion, ExecutionEvidence, RequestOutcome, Step, TicketSettlement};
use postbarrow_state::Settlement;

impl RequestFlow {
    /// Ends the request. A request that may have run is never reported as not run, whatever ended
    /// it.
    pub(super) fn finish(
        &mut self,
        outcome: RequestOutcome,
        settlement: Option<TicketSettlement>,
    ) -> Step {
        self.phase = Phase::Finish;
        let outcome = match outcome {
            RequestOutcome::NoTarget(reason) if self.may_have_run => RequestOutcome::GaveUp(reason),
            RequestOutcome::Unready if self.may_have_run => {
                RequestOutcome::GaveUp("this node is not ready".into())
            }
            outcome => outcome,
        };
        Step::Done { completion: self.completion(outcome), settlement }
    }

    /// Ends the request after an event that does not belong to its phase, which a correct driver
    /// never reports: the request counts as possibly run, and its ticket is settled as unknown.
    pub(super) fn on_unexpected_event(&mut self, phase: Phase) -> Step {
        let ticket = match phase {
            Phase::RequestTicket(_, TicketRequest { ticket, .. })
            | Phase::SettleTicket(ticket)
            | Phase::Forward(_, Some(ticket)) => Some(ticket),
            Phase::Admit | Phase::Connect(_) | Phase::Forward(_, None) | Phase::Finish => None,
        };
        self.may_have_run = true;
        let settlement =
            ticket.map(|ticket| settlement_without_response(ticket, Settlement::Unknown));
        self.finish(
            RequestOutcome::TargetFailed("the event is of another phase".into()),
            settlement,
        )
    }

    fn completion(&self, outcome: RequestOutcome) -> Completion {
        let evidence = ExecutionEvidence {
            one_time: self.is_one_time(),
            keyed: self.request_context.keyed,
            ticketed: self.was_ticketed,
            may_have_run: self.may_have_run,
        };
        let is_generated = evidence.one_time && !evidence.keyed;
        let key = is_generated.then(|| self.request_context.key.clone());
        Completion { outcome, evidence, key }
    }
}
