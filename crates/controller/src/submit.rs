use crate::operator::{self, Refused, Submitted};
use crate::plan_delta::plan_records;
use crate::{ControlNode, Origin};
use postbarrow_constants::plans::BATCHES_IN_FLIGHT;
use postbarrow_messages::{Response, Submission};
use postbarrow_plan::Rehearsal;
use postbarrow_state::{Name, Record, State};
use postbarrow_transactions::{Line, encode, split};
use std::collections::VecDeque;

/// The one open transaction: what is still to be sent, and what is not committed yet.
pub(crate) struct Open {
    pub origin: Origin,
    pub version: Name,
    dry_run: bool,
    allow_empty: bool,
    batches: VecDeque<Vec<Record>>,
    in_flight: VecDeque<u64>,
}

impl ControlNode {
    pub(crate) fn on_submit(&mut self, now_ms: u64, origin: Origin, submission: Submission) {
        let Some(state) = self.current() else { return };
        if let Some(refusal) = stale(state, &submission) {
            return self.reply_settled(origin, refusal);
        }
        if state.plan_version() == Some(submission.version.as_str()) && !submission.dry_run {
            let response = operator::json(200, &Submitted::again(state));
            return self.reply_settled(origin, response);
        }
        let name = format!("plan {}", submission.version);
        let records = plan_records(state, submission.records);
        let Some(writer) = self.lead.as_mut().and_then(|lead| lead.writer.as_mut()) else { return };
        let Ok(begin) = writer.begin(now_ms, &name) else { return };
        let offset = self.propose_lines(now_ms, vec![begin]);
        if let Some(lead) = &mut self.lead {
            lead.open = Some(Open {
                origin,
                version: submission.version,
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
        let commit = self.consensus.commit();
        loop {
            let Some(lead) = &mut self.lead else { return };
            let Some(open) = &mut lead.open else { return };
            while open.in_flight.front().is_some_and(|offset| *offset <= commit) {
                open.in_flight.pop_front();
            }
            if open.in_flight.len() >= BATCHES_IN_FLIGHT {
                return;
            }
            let Some(batch) = open.batches.pop_front() else { break };
            let lines: Vec<Line<Record>> = batch.into_iter().map(Line::Data).collect();
            let writer = lead.writer.as_mut().expect("an open transaction has a writer");
            if writer.grow(encode(&lines).len()).is_err() {
                return self.abort_open(now_ms, 413, "the plan is over the bound of one delta");
            }
            let offset = self.propose_lines(now_ms, lines);
            if let Some(open) = self.lead.as_mut().and_then(|lead| lead.open.as_mut()) {
                open.in_flight.push_back(offset);
            }
        }
        self.close(now_ms);
    }

    fn close(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.lead else { return };
        let Some(writer) = &mut lead.writer else { return };
        let (Some(open), Some(before)) = (&lead.open, writer.rollback()) else { return };
        let rehearsal = Rehearsal::of(before, writer.current());
        let (origin, version) = (open.origin, open.version.clone());
        if !rehearsal.without_target.is_empty() && !open.allow_empty {
            let empty = rehearsal.without_target.join(", ");
            let reason = format!("no live target for {empty}; allow-empty was not given");
            if !open.dry_run {
                return self.abort_open(now_ms, 422, &reason);
            }
        }
        if open.dry_run {
            let Ok(abort) = writer.abort("dry run") else { return };
            lead.open = None;
            let offset = self.propose_lines(now_ms, vec![abort]);
            let told = Submitted::dry(&version, rehearsal);
            self.reply_at(offset, origin, operator::json(200, &told));
        } else {
            let Ok(end) = writer.end() else { return };
            lead.open = None;
            let began = writer.current().plan.as_ref().map_or(0, |plan| plan.offset);
            let offset = self.propose_lines(now_ms, vec![end]);
            let told = Submitted::new(&version, began, offset, rehearsal);
            self.say(format!("plan {version} ends at {offset}"));
            self.reply_at(offset, origin, operator::json(200, &told));
        }
        self.drain_waiting(now_ms);
    }

    pub(crate) fn abort_open(&mut self, now_ms: u64, status: u16, reason: &str) {
        let Some(lead) = &mut self.lead else { return };
        let Some(open) = lead.open.take() else { return };
        let abort = lead.writer.as_mut().and_then(|writer| writer.abort(reason).ok());
        let Some(abort) = abort else { return };
        self.say(format!("plan {} is aborted: {reason}", open.version));
        let offset = self.propose_lines(now_ms, vec![abort]);
        let refused = Refused::new(reason, self.committed().plan_version());
        self.reply_at(offset, open.origin, operator::json(status, &refused));
        self.drain_waiting(now_ms);
    }

    pub(crate) fn submit_pulse(&mut self, now_ms: u64) {
        let writer = self.lead.as_ref().and_then(|lead| lead.writer.as_ref());
        if writer.is_some_and(|writer| writer.is_overdue(now_ms)) {
            self.abort_open(now_ms, 503, "the transaction was open too long");
        }
    }
}

/// The version in force decides: its own text again is a yes, any other plan needs it as base.
fn stale(state: &State, submission: &Submission) -> Option<Response> {
    let in_force = state.plan_version();
    if in_force == Some(submission.version.as_str()) {
        let given: Vec<u8> = submission.text();
        if given == state.plan_text() {
            return None;
        }
        let refused = Refused::new("this version is in force with another text", in_force);
        return Some(operator::json(409, &refused));
    }
    if in_force != submission.base.as_deref() {
        let refused = Refused::new("the base is not the plan in force", in_force);
        return Some(operator::json(409, &refused));
    }
    None
}
