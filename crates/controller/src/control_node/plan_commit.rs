//! Commits a plan as one transaction of Begin, the plan's batches and End (KIP-868).

use crate::ControlNode;
use crate::leader_state::OpenPlan;
use crate::operator_body::{Refused, Submitted, json};
use crate::origin::Origin;
use crate::plan_delta::plan_batches;
use crate::plan_size::{PlanTooLarge, check_plan_image};
use postbarrow_messages::Submission;
use postbarrow_plan::Rehearsal;
use postbarrow_state::{Digest, Record, State};
use postbarrow_transactions::BatchRecord;

impl ControlNode {
    /// Begins the plan's transaction. A plan whose transaction would exceed its bound is refused
    /// before anything is written to the log.
    pub(super) fn begin_plan(
        &mut self,
        now_ms: u64,
        origin: Origin,
        mut submission: Submission,
        digest: Digest,
    ) {
        if let Err(error) = check_plan_image(&submission.records) {
            return self.refuse_too_large_plan(now_ms, origin, &submission, &error);
        }
        let Some(state) = self.proposed_state() else { return };
        let batches = plan_batches(state, std::mem::take(&mut submission.records));
        let name = format!("plan {}", submission.version);
        let Some(leader) = &mut self.leader else { return };
        let begin = match leader.writer.begin(now_ms, &name, &batches) {
            Ok(begin) => begin,
            Err(error) => {
                let error = PlanTooLarge::Delta(error);
                return self.refuse_too_large_plan(now_ms, origin, &submission, &error);
            }
        };
        let offset = self.propose_batch(now_ms, vec![begin]);
        if let Some(leader) = &mut self.leader {
            leader.transaction.open(OpenPlan::new(origin, submission, digest, batches, offset));
        }
        self.propose_plan_batches(now_ms);
    }

    fn refuse_too_large_plan(
        &mut self,
        now_ms: u64,
        origin: Origin,
        submission: &Submission,
        error: &PlanTooLarge,
    ) {
        let version = &submission.version;
        self.log_line(format!("plan refused version={version} reason=\"{error}\""));
        let in_force = self.proposed_state().and_then(State::plan_version);
        let refused =
            json(413, &Refused::new(&format!("the plan is too large: {error}"), in_force));
        self.reply_when_committed(now_ms, origin, refused);
    }

    /// Proposes batches of the open plan up to the limit of batches in flight. Once all are
    /// proposed, rehearses and finishes the plan.
    pub(super) fn propose_plan_batches(&mut self, now_ms: u64) {
        let commit_index = self.consensus.commit_index();
        loop {
            let Some(leader) = &mut self.leader else { return };
            let Some(plan) = leader.transaction.plan_mut() else { return };
            plan.on_committed(commit_index);
            if plan.is_at_in_flight_limit() {
                return;
            }
            let Some(batch) = plan.next_batch() else { break };
            let offset = self.propose_batch(now_ms, batch);
            let leader = self.leader.as_mut();
            if let Some(plan) = leader.and_then(|leader| leader.transaction.plan_mut()) {
                plan.on_proposed(offset);
            }
        }
        self.rehearse_and_finish_plan(now_ms);
    }

    /// Rehearses the open plan, whose batches have all been proposed, and then finishes a dry run,
    /// refuses the plan, or proposes its End.
    fn rehearse_and_finish_plan(&mut self, now_ms: u64) {
        let Some(leader) = &self.leader else { return };
        let (before, after) =
            (leader.writer.state_before_transaction(), leader.writer.proposed_state());
        let (Some(plan), Some(before), Some(after)) = (leader.transaction.plan(), before, after)
        else {
            return;
        };
        let rehearsal = Rehearsal::compare(before, after);
        if plan.dry_run {
            return self.finish_dry_run(now_ms, rehearsal);
        }
        if !rehearsal.without_target.is_empty() && !plan.allow_empty {
            let empty = rehearsal.without_target.join(", ");
            let reason = format!("no live target for {empty}; allow-empty was not given");
            return self.refuse_plan(now_ms, 422, &reason);
        }
        self.propose_plan_end(now_ms, rehearsal);
    }

    fn finish_dry_run(&mut self, now_ms: u64, rehearsal: Rehearsal) {
        let Some(leader) = &mut self.leader else { return };
        let Some(abort) = leader.writer.abort("dry run") else { return };
        let Some(plan) = leader.transaction.take_plan() else { return };
        let offset = self.propose_batch(now_ms, vec![abort]);
        let body = Submitted::dry_run(&plan.version, rehearsal);
        self.reply_at(now_ms, offset, plan.origin, json(200, &body));
        self.serve_waiting_requests(now_ms);
    }

    fn propose_plan_end(&mut self, now_ms: u64, rehearsal: Rehearsal) {
        let Some(leader) = &mut self.leader else { return };
        let Some(end) = leader.writer.end() else { return };
        let Some(plan) = leader.transaction.take_plan() else { return };
        let OpenPlan { origin, version, base, digest, .. } = plan;
        let in_force = leader.writer.proposed_state().and_then(|state| state.plan.as_ref());
        let began_at = in_force.map_or(0, |plan| plan.offset);
        let accepted = Record::PlanAccepted { version: version.clone(), base, digest, began_at };
        let offset = self.propose_batch(now_ms, vec![BatchRecord::Data(accepted), end]);
        let body = Submitted::accepted(&version, began_at, offset, rehearsal);
        self.log_line(format!("plan end proposed version={version} offset={offset}"));
        self.reply_at(now_ms, offset, origin, json(200, &body));
        self.serve_waiting_requests(now_ms);
    }
}
