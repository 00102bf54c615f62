//! Handles submitted plans: begins a plan, acknowledges a repeat, or refuses the submission.

use crate::ControlNode;
use crate::operator_body::{Refused, Submitted, json};
use crate::origin::Origin;
use crate::submission_check::{RefusalReason, SubmissionDecision, decide_submission, text_digest};
use postbarrow_messages::{Response, Submission};
use postbarrow_state::{Record, RefusedPlan};

impl ControlNode {
    pub(super) fn on_submit(&mut self, now_ms: u64, origin: Origin, submission: Submission) {
        let digest = text_digest(&submission.text());
        let Some(state) = self.proposed_state() else { return };
        match decide_submission(state, &submission, &digest) {
            SubmissionDecision::Proceed => self.begin_plan(now_ms, origin, submission, digest),
            SubmissionDecision::AlreadyAccepted { began_at, ended_at } => {
                let body =
                    Submitted::accepted_before(state, &submission.version, began_at, ended_at);
                self.reply_when_committed(now_ms, origin, json(200, &body));
            }
            SubmissionDecision::Refused(reason) => {
                let body = Refused::new(&reason.to_string(), state.plan_version());
                if reason == RefusalReason::BaseNeverAccepted && !submission.dry_run {
                    let refused = RefusedPlan { version: submission.version, digest };
                    self.propose(now_ms, vec![Record::PlanRefused(refused)]);
                }
                self.reply_when_committed(now_ms, origin, json(409, &body));
            }
            SubmissionDecision::Unknown => self.respond(origin, Response::TimedOut),
        }
    }
}
