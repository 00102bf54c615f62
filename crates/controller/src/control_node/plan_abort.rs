//! Aborts the open plan.

use crate::ControlNode;
use crate::operator_body::{Refused, json};
use crate::origin::Origin;
use postbarrow_messages::Response;
use postbarrow_state::State;

impl ControlNode {
    /// Aborts the open plan and refuses it with this HTTP status. The reason is one for which the
    /// same plan would be refused again.
    pub(super) fn refuse_plan(&mut self, now_ms: u64, status: u16, reason: &str) {
        let Some((offset, origin)) = self.abort_plan(now_ms, reason) else { return };
        let in_force = self.proposed_state().and_then(State::plan_version);
        let refused = json(status, &Refused::new(reason, in_force));
        self.reply_at(now_ms, offset, origin, refused);
        self.serve_waiting_requests(now_ms);
    }

    /// Aborts the open plan because its transaction was open too long, or blocked an urgent change
    /// of the endpoint list. Another copy of the plan may be waiting or in transit and may still be
    /// accepted, so the response is `TimedOut`, not a refusal.
    pub(super) fn abort_overdue_plan(&mut self, now_ms: u64, reason: &str) {
        let Some((offset, origin)) = self.abort_plan(now_ms, reason) else { return };
        self.reply_at(now_ms, offset, origin, Response::TimedOut);
        self.serve_waiting_requests(now_ms);
    }

    /// Proposes the Abort. Returns its log offset and the origin of the plan's submission; `None`
    /// if no plan is open.
    fn abort_plan(&mut self, now_ms: u64, reason: &str) -> Option<(u64, Origin)> {
        let leader = self.leader.as_mut()?;
        let plan = leader.transaction.take_plan()?;
        let abort = leader.writer.abort(reason)?;
        self.log_line(format!("plan aborted version={} reason={reason:?}", plan.version));
        Some((self.propose_batch(now_ms, vec![abort]), plan.origin))
    }

    pub(super) fn plan_abort_tick(&mut self, now_ms: u64) {
        let leader = self.leader.as_ref();
        if leader.is_some_and(|leader| leader.writer.is_transaction_overdue(now_ms)) {
            self.abort_overdue_plan(now_ms, "the transaction was open too long");
        }
    }
}
