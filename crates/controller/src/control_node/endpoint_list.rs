//! Polls the endpoint list and proposes the changes that it shows; only the leader does this.

use crate::endpoint_list::PollProgress;
use crate::error::Error;
use crate::{ControlNode, Effect, PageResult};

impl ControlNode {
    pub(super) fn endpoint_list_tick(&mut self, now_ms: u64) {
        self.apply_list_changes(now_ms);
        let has_lease = self.has_lease(now_ms);
        let Some(leader) = &mut self.leader else { return };
        if let Err(error) = leader.endpoint_list.check_overdue_page(now_ms) {
            return self.log_list_error(&error);
        }
        if has_lease && let Some((number, cursor)) = leader.endpoint_list.next_fetch(now_ms) {
            self.effects.push(Effect::Fetch { number, cursor });
        }
    }

    /// Proposes the changes of the list, which wait until no transaction is open. A change by which
    /// a target departs waits only for a bounded time; then the open plan is aborted.
    fn apply_list_changes(&mut self, now_ms: u64) {
        let leader = self.leader.as_ref();
        let is_overdue =
            leader.is_some_and(|leader| leader.endpoint_list.has_overdue_change(now_ms));
        if is_overdue && self.has_open_transaction() {
            self.abort_overdue_plan(now_ms, "a target that leaves waited for it too long");
        }
        while !self.has_open_transaction() {
            let Some(leader) = &mut self.leader else { return };
            let Some(change) = leader.endpoint_list.next_change() else { return };
            let Some(state) = leader.writer.proposed_state() else { continue };
            let records = change.records(state);
            if !records.is_empty() {
                self.propose(now_ms, records);
            }
        }
    }

    pub(super) fn on_fetched(&mut self, now_ms: u64, result: PageResult) {
        if self.is_departing() {
            return;
        }
        let Some(leader) = &mut self.leader else { return };
        let Some(state) = leader.writer.proposed_state() else { return };
        match leader.endpoint_list.on_fetched(now_ms, result, state) {
            Ok(PollProgress::Ignored) => {}
            Ok(PollProgress::Advanced) => self.endpoint_list_tick(now_ms),
            Ok(PollProgress::Completed) => {
                self.log_slowness_change();
                self.endpoint_list_tick(now_ms);
            }
            Err(error) => self.log_list_error(&error),
        }
    }

    /// Logs a failure of the list, unless it is the same as the last one.
    fn log_list_error(&mut self, error: &Error) {
        let Some(leader) = &mut self.leader else { return };
        if let Some(finding) = leader.endpoint_list.record_finding(error) {
            self.log_line(format!("endpoint list failed finding={finding:?}"));
        }
    }

    /// Logs once when draining a target may take longer than `DRAIN_BOUND_MS` because the list is
    /// too slow, and once when that is no longer so.
    fn log_slowness_change(&mut self) {
        let Some(leader) = &mut self.leader else { return };
        let bound_ms = leader.endpoint_list.leave_bound_ms();
        match leader.endpoint_list.check_drain_bound() {
            Some(true) => {
                self.log_line(format!("endpoint list too slow drain_bound_ms={bound_ms}"))
            }
            Some(false) => {
                self.log_line(format!("endpoint list fast enough again drain_bound_ms={bound_ms}"));
            }
            None => {}
        }
    }
}
