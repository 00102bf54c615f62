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
                let told = Submitted::again(state, &submission.version, began_at, ended_at);
                self.reply_settled(now_ms, origin, operator::json(200, &told));
            }
            SubmissionDecision::Refused(reason) => {
                let told = Refused::new(&reason.to_string(), state.plan_version());
                if reason == RefusalReason::BaseNeverAccepted && !submission.dry_run {
                    let refused = RefusedPlan { version: submission.version, digest };
                    self.propose(now_ms, vec![Record::PlanRefused(refused)]);
                }
                self.reply_settled(now_ms, origin, operator::json(409, &told));
            }
            SubmissionDecision::Unknown => self.respond(origin, Response::TimedOut),
        }
    }

    fn begin_plan(&mut self, now_ms: u64, origin: Origin, submission: Submission, digest: Digest) {
        let name = format!("plan {}", submission.version);
        let Some(state) = self.current() else { return };
        let records = plan_records(state, submission.records);
        let Some(writer) = self.leader.as_mut().and_then(|lead| lead.writer.as_mut()) else {
            return;
        };
        let Ok(begin) = writer.begin(now_ms, &name) else { return };
        let offset = self.propose_lines(now_ms, vec![begin]);
        if let Some(lead) = &mut self.leader {
            lead.open_plan = Some(OpenPlan {
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
        self.continue_open(now_ms);
    }

    /// Sends what fits in flight; after the last batch, rehearses and closes.
    pub(crate) fn continue_open(&mut self, now_ms: u64) {
        let commit = self.consensus.commit_index();
        loop {
            let Some(lead) = &mut self.leader else { return };
            let Some(open) = &mut lead.open_plan else { return };
            while open.in_flight.front().is_some_and(|offset| *offset <= commit) {
                open.in_flight.pop_front();
            }
            if open.in_flight.len() >= BATCHES_IN_FLIGHT {
                return;
            }
            let Some(batch) = open.batches.pop_front() else { break };
            let lines: Vec<BatchRecord<Record>> =
                batch.into_iter().map(BatchRecord::Data).collect();
            let writer = lead.writer.as_mut().expect("an open transaction has a writer");
            if writer.grow(encode(&lines).len()).is_err() {
                return self.refuse_open(now_ms, 413, "the plan is over the bound of one delta");
            }
            let offset = self.propose_lines(now_ms, lines);
            if let Some(open) = self.leader.as_mut().and_then(|lead| lead.open_plan.as_mut()) {
                open.in_flight.push_back(offset);
            }
        }
        self.close(now_ms);
    }

    fn close(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.leader else { return };
        let Some(writer) = &mut lead.writer else { return };
        let (Some(open), Some(before)) = (&lead.open_plan, writer.rollback()) else { return };
        let rehearsal = Rehearsal::of(before, writer.current());
        let (origin, version) = (open.origin, open.version.clone());
        let (base, digest) = (open.base.clone(), open.digest);
        if !rehearsal.without_target.is_empty() && !open.allow_empty {
            let empty = rehearsal.without_target.join(", ");
            let reason = format!("no live target for {empty}; allow-empty was not given");
            if !open.dry_run {
                return self.refuse_open(now_ms, 422, &reason);
            }
        }
        if open.dry_run {
            let Ok(abort) = writer.abort("dry run") else { return };
            lead.open_plan = None;
            let offset = self.propose_lines(now_ms, vec![abort]);
            let told = Submitted::dry(&version, rehearsal);
            self.reply_at(now_ms, offset, origin, operator::json(200, &told));
        } else {
            let Ok(end) = writer.end() else { return };
            lead.open_plan = None;
            let began_at = writer.current().plan.as_ref().map_or(0, |plan| plan.offset);
            let taken = Record::PlanAccepted { version: version.clone(), base, digest, began_at };
            let offset = self.propose_lines(now_ms, vec![BatchRecord::Data(taken), end]);
            let told = Submitted::new(&version, began_at, offset, rehearsal);
            self.log_line(format!("plan {version} ends at {offset}"));
            self.reply_at(now_ms, offset, origin, operator::json(200, &told));
        }
        self.drain_waiting(now_ms);
    }

    /// Ends the open plan for a reason that the same plan would meet again: it is refused.
    fn refuse_open(&mut self, now_ms: u64, status: u16, reason: &str) {
        let Some((offset, origin)) = self.abort_open(now_ms, reason) else { return };
        let in_force = self.current().and_then(State::plan_version);
        let refused = operator::json(status, &Refused::new(reason, in_force));
        self.reply_at(now_ms, offset, origin, refused);
        self.drain_waiting(now_ms);
    }

    /// Ends the open plan for want of time. Another copy of it may be waiting or on its way and be
    /// taken, so this is no refusal but no clear answer.
    pub(crate) fn abort_late(&mut self, now_ms: u64, reason: &str) {
        let Some((offset, origin)) = self.abort_open(now_ms, reason) else { return };
        self.reply_at(now_ms, offset, origin, Response::TimedOut);
        self.drain_waiting(now_ms);
    }

    /// Writes the abort; gives its offset and who waits for the plan's end.
    fn abort_open(&mut self, now_ms: u64, reason: &str) -> Option<(u64, Origin)> {
        let lead = self.leader.as_mut()?;
        let open = lead.open_plan.take()?;
        let abort = lead.writer.as_mut().and_then(|writer| writer.abort(reason).ok())?;
        self.log_line(format!("plan {} is aborted: {reason}", open.version));
        Some((self.propose_lines(now_ms, vec![abort]), open.origin))
    }

    pub(crate) fn submit_tick(&mut self, now_ms: u64) {
        let writer = self.leader.as_ref().and_then(|lead| lead.writer.as_ref());
        if writer.is_some_and(|writer| writer.is_overdue(now_ms)) {
            self.abort_late(now_ms, "the transaction was open too long");
        }
    }
}
