//! A submitted plan on its way into the log, as one transaction.

use crate::operator::{self, Refused, Submitted};
use crate::plan_delta::plan_records;
use crate::submission::{RefusalReason, SubmissionDecision, decide_submission, text_digest};
use crate::{ControlNode, Origin};
use postbarrow_constants::plans::BATCHES_IN_FLIGHT;
use postbarrow_messages::{Response, Submission};
use postbarrow_plan::Rehearsal;
use postbarrow_state::{Digest, Name, Record, RefusedPlan, State};
use postbarrow_transactions::{BatchRecord, encode, split};
use std::collections::VecDeque;

/// The one open transaction: what is still to be sent, and what is not committed yet.
pub(crate) struct OpenPlan {
    pub origin: Origin,
    pub version: Name,
    base: Option<Name>,
    digest: Digest,
    dry_run: bool,
    allow_empty: bool,
    batches: VecDeque<Vec<Record>>,
    in_flight: VecDeque<u64>,
}

impl ControlNode {
    pub(crate) fn on_submit(&mut self, now_ms: u64, origin: Origin, submission: Submission) {
        let digest = text_digest(&submission.text());
        let Some(state) = self.current() else { return };
        match decide_submission(state, &submission, &digest) {
            SubmissionDecision::Proceed => self.begin_plan(now_ms, origin, submission, digest),
            SubmissionDecision::AlreadyAccepted { began_at, ended_at } => {
                let body = Submitted::again(state, &submission.version, began_at, ended_at);
                self.reply_when_committed(now_ms, origin, operator::json(200, &body));
            }
            SubmissionDecision::Refused(reason) => {
                let body = Refused::new(&reason.to_string(), state.plan_version());
                if reason == RefusalReason::BaseNeverAccepted && !submission.dry_run {
                    let refused = RefusedPlan { version: submission.version, digest };
                    self.propose(now_ms, vec![Record::PlanRefused(refused)]);
                }
                self.reply_when_committed(now_ms, origin, operator::json(409, &body));
            }
            SubmissionDecision::Unknown => self.respond(origin, Response::TimedOut),
        }
    }

    fn begin_plan(&mut self, now_ms: u64, origin: Origin, submission: Submission, digest: Digest) {
        let name = format!("plan {}", submission.version);
        let Some(state) = self.current() else { return };
        let records = plan_records(state, submission.records);
        let Some(writer) = self.leader.as_mut().and_then(|leader| leader.writer.as_mut()) else {
            return;
        };
        let Ok(begin) = writer.begin(now_ms, &name) else { return };
        let offset = self.propose_batch(now_ms, vec![begin]);
        if let Some(leader) = &mut self.leader {
            leader.open_plan = Some(OpenPlan {
                origin,
                version: submission.version,
                base: submission.base,
                digest,
                dry_run: submission.dry_run,
                allow_empty: submission.allow_empty,
                batches: split(records).into(),
                in_flight: VecDeque::from([offset]),
            });
        }
        self.continue_plan(now_ms);
    }

    /// Sends what fits in flight; after the last batch, rehearses and closes.
    pub(crate) fn continue_plan(&mut self, now_ms: u64) {
        let commit = self.consensus.commit_index();
        loop {
            let Some(leader) = &mut self.leader else { return };
            let Some(plan) = &mut leader.open_plan else { return };
            while plan.in_flight.front().is_some_and(|offset| *offset <= commit) {
                plan.in_flight.pop_front();
            }
            if plan.in_flight.len() >= BATCHES_IN_FLIGHT {
                return;
            }
            let Some(batch) = plan.batches.pop_front() else { break };
            let lines: Vec<BatchRecord<Record>> =
                batch.into_iter().map(BatchRecord::Data).collect();
            let writer = leader.writer.as_mut().expect("an open transaction has a writer");
            if writer.grow(encode(&lines).len()).is_err() {
                return self.refuse_plan(now_ms, 413, "the plan is over the bound of one delta");
            }
            let offset = self.propose_batch(now_ms, lines);
            if let Some(plan) = self.leader.as_mut().and_then(|leader| leader.open_plan.as_mut()) {
                plan.in_flight.push_back(offset);
            }
        }
        self.close(now_ms);
    }

    fn close(&mut self, now_ms: u64) {
        let Some(leader) = &mut self.leader else { return };
        let Some(writer) = &mut leader.writer else { return };
        let (Some(plan), Some(before)) = (&leader.open_plan, writer.rollback()) else { return };
        let rehearsal = Rehearsal::of(before, writer.current());
        let (origin, version) = (plan.origin, plan.version.clone());
        let (base, digest) = (plan.base.clone(), plan.digest);
        if !rehearsal.without_target.is_empty() && !plan.allow_empty {
            let empty = rehearsal.without_target.join(", ");
            let reason = format!("no live target for {empty}; allow-empty was not given");
            if !plan.dry_run {
                return self.refuse_plan(now_ms, 422, &reason);
            }
        }
        if plan.dry_run {
            let Ok(abort) = writer.abort("dry run") else { return };
            leader.open_plan = None;
            let offset = self.propose_batch(now_ms, vec![abort]);
            let body = Submitted::dry(&version, rehearsal);
            self.reply_at(now_ms, offset, origin, operator::json(200, &body));
        } else {
            let Ok(end) = writer.end() else { return };
            leader.open_plan = None;
            let began_at = writer.current().plan.as_ref().map_or(0, |plan| plan.offset);
            let accepted =
                Record::PlanAccepted { version: version.clone(), base, digest, began_at };
            let offset = self.propose_batch(now_ms, vec![BatchRecord::Data(accepted), end]);
            let body = Submitted::new(&version, began_at, offset, rehearsal);
            self.log_line(format!("plan {version} ends at {offset}"));
            self.reply_at(now_ms, offset, origin, operator::json(200, &body));
        }
        self.drain_waiting(now_ms);
    }

    /// Ends the open plan for a reason that the same plan would meet again: it is refused.
    fn refuse_plan(&mut self, now_ms: u64, status: u16, reason: &str) {
        let Some((offset, origin)) = self.abort_plan(now_ms, reason) else { return };
        let in_force = self.current().and_then(State::plan_version);
        let refused = operator::json(status, &Refused::new(reason, in_force));
        self.reply_at(now_ms, offset, origin, refused);
        self.drain_waiting(now_ms);
    }

    /// Ends the open plan for want of time. Another copy of it may be waiting or on its way and be
    /// taken, so this is no refusal but no clear answer.
    pub(crate) fn abort_overdue_plan(&mut self, now_ms: u64, reason: &str) {
        let Some((offset, origin)) = self.abort_plan(now_ms, reason) else { return };
        self.reply_at(now_ms, offset, origin, Response::TimedOut);
        self.drain_waiting(now_ms);
    }

    /// Writes the abort; gives its offset and who waits for the plan's end.
    fn abort_plan(&mut self, now_ms: u64, reason: &str) -> Option<(u64, Origin)> {
        let leader = self.leader.as_mut()?;
        let plan = leader.open_plan.take()?;
        let abort = leader.writer.as_mut().and_then(|writer| writer.abort(reason).ok())?;
        self.log_line(format!("plan {} is aborted: {reason}", plan.version));
        Some((self.propose_batch(now_ms, vec![abort]), plan.origin))
    }

    pub(crate) fn submit_tick(&mut self, now_ms: u64) {
        let writer = self.leader.as_ref().and_then(|leader| leader.writer.as_ref());
        if writer.is_some_and(|writer| writer.is_overdue(now_ms)) {
            self.abort_overdue_plan(now_ms, "the transaction was open too long");
        }
    }
}
