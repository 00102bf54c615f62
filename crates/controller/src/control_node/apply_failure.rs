//! A member that can't apply the committed log steps aside: it gives up leadership and answers
//! nothing, but remains a voter with its disk. A release that can apply the log continues it, and
//! so does a snapshot of a leader that could.

use crate::{ApplyFailure, ControlNode};
use postbarrow_consensus::Input;

impl ControlNode {
    /// Returns why this member can't apply the committed log; `None` while it can. Its owner logs
    /// and reports it: an operator must act.
    pub fn apply_failure(&self) -> Option<&ApplyFailure> {
        self.apply_failure.as_ref()
    }

    pub(super) fn on_apply_failure(&mut self, now_ms: u64, failure: ApplyFailure) {
        self.apply_failure = Some(failure);
        self.step(now_ms, Input::SetCanLead(false));
    }

    pub(super) fn on_applying_again(&mut self, now_ms: u64) {
        if self.apply_failure.take().is_some() {
            self.step(now_ms, Input::SetCanLead(true));
        }
    }
}
