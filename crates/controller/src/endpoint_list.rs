use crate::endpoint_list_scan::PageOutcome;
use crate::list_page::read_page;
use crate::{ControlNode, Effect, Fetched, PageResult};
use postbarrow_constants::nodes::*;
use postbarrow_constants::plans::DRAIN_TRANSACTION_WAIT_MS;
use postbarrow_state::{Name, Record, State, Target};
use std::collections::VecDeque;

/// What a page told while a transaction was open.
pub(crate) struct DeferredChange {
    since_ms: u64,
    leaving: bool,
    rows: Vec<Target>,
    gone: Vec<Name>,
    doubtful: Vec<Name>,
}

pub(crate) type DeferredChanges = VecDeque<DeferredChange>;

impl ControlNode {
    /// One duty of the controller alone: walking the platform's list.
    pub(crate) fn list_tick(&mut self, now_ms: u64) {
        self.apply_deferred(now_ms);
        let leased = self.has_lease(now_ms);
        let Some(leader) = &mut self.leader else { return };
        if leader.scan.restart_if_page_overdue(now_ms) {
            return self.list_finding("a page never came".into());
        }
        if leased && let Some((number, cursor)) = leader.scan.next(now_ms) {
            self.effects.push(Effect::Fetch { number, cursor });
        }
    }

    /// Changes wait for an open transaction, but one that shows a target leave not for long.
    fn apply_deferred(&mut self, now_ms: u64) {
        let is_overdue = |change: &DeferredChange| {
            change.leaving && now_ms >= change.since_ms + DRAIN_TRANSACTION_WAIT_MS
        };
        let must_abort = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.deferred_changes.iter().any(is_overdue));
        if must_abort && self.is_open() {
            self.abort_overdue_plan(now_ms, "a target that leaves waited for it too long");
        }
        while !self.is_open() {
            let Some(leader) = &mut self.leader else { return };
            let Some(change) = leader.deferred_changes.pop_front() else { return };
            self.apply_rows(now_ms, change);
        }
    }

    pub(crate) fn on_page(&mut self, now_ms: u64, result: PageResult) {
        if self.is_departing() {
            return;
        }
        let Some(state) = self.current() else { return };
        let known: Vec<Name> = state.targets.keys().cloned().collect();
        let Some(leader) = &mut self.leader else { return };
        let number = result.number;
        let listed = match result.fetched {
            Fetched::Page(bytes) => read_page(&bytes).map_err(|findings| findings.to_string()),
            Fetched::Listed(listed) => Ok(listed),
            Fetched::Failed(reason) => Err(reason),
            Fetched::Limited { wait_ms } => {
                if leader.scan.on_limited(now_ms, number, wait_ms) {
                    let gap_ms = leader.scan.poll_rate.gap_ms();
                    self.list_finding(format!("refuses; asked every {gap_ms} ms from now on"));
                }
                return;
            }
        };
        let failed = match listed {
            Err(reason) => leader.scan.on_failed(now_ms, number, reason),
            Ok(listed) => match leader.scan.on_page(now_ms, number, listed, &known) {
                PageOutcome::Stale => None,
                PageOutcome::Incomplete(rows) => {
                    self.defer_rows(now_ms, rows, Vec::new(), Vec::new());
                    None
                }
                PageOutcome::Complete { rows, gone, doubtful } => {
                    self.defer_rows(now_ms, rows, gone, doubtful);
                    self.report_leave_bound();
                    None
                }
                PageOutcome::Failed(reason) => Some(reason),
            },
        };
        match failed {
            Some(reason) => self.list_finding(reason),
            None => self.list_tick(now_ms),
        }
    }

    fn defer_rows(&mut self, now_ms: u64, rows: Vec<Target>, gone: Vec<Name>, doubtful: Vec<Name>) {
        let Some(state) = self.current() else { return };
        let starts_draining = |row: &Target| {
            row.draining && state.targets.get(&row.instance).is_none_or(|known| !known.draining)
        };
        let leaving = !gone.is_empty() || !doubtful.is_empty() || rows.iter().any(starts_draining);
        let Some(leader) = &mut self.leader else { return };
        leader.deferred_changes.push_back(DeferredChange {
            since_ms: now_ms,
            leaving,
            rows,
            gone,
            doubtful,
        });
    }

    /// Who may be gone gets no more asks while others of its service are there.
    fn apply_rows(&mut self, now_ms: u64, change: DeferredChange) {
        let Some(state) = self.current() else { return };
        let mut records = changes(state, change.rows);
        let known = |instance: &Name| state.targets.get(instance);
        for instance in change.gone.into_iter().filter(|instance| known(instance).is_some()) {
            records.push(Record::TargetGone(instance));
        }
        for target in change.doubtful.iter().filter_map(known).filter(|target| !target.draining) {
            let other = |other: &Target| {
                other.service == target.service
                    && !(other.draining || other.down || change.doubtful.contains(&other.instance))
            };
            if state.targets.values().any(|one| other(one)) {
                records.push(Record::Target(Target { draining: true, ..target.as_ref().clone() }));
            }
        }
        if !records.is_empty() {
            self.propose(now_ms, records);
        }
    }

    fn list_finding(&mut self, reason: String) {
        let Some(leader) = &mut self.leader else { return };
        if leader.scan.finding.as_ref() != Some(&reason) {
            leader.scan.finding = Some(reason.clone());
            self.log_line(format!("the platform's list: {reason}"));
        }
    }

    /// A list too slow for the users' bound is told once, with the bound that then holds.
    fn report_leave_bound(&mut self) {
        let Some(leader) = &mut self.leader else { return };
        let bound_ms = leader.scan.leave_bound_ms();
        let slow = bound_ms > DRAIN_BOUND_MS;
        if slow != leader.is_list_slow {
            leader.is_list_slow = slow;
            self.log_line(match slow {
                true => format!(
                    "the platform's list is slow: a leaving target may get asks for {bound_ms} ms"
                ),
                false => format!("the platform's list is quick again: {bound_ms} ms"),
            });
        }
    }
}

/// A page acts at once, the draining mark above all.
fn changes(state: &State, listed: Vec<Target>) -> Vec<Record> {
    let mut records = Vec::new();
    for target in listed {
        let known = state.targets.get(&target.instance);
        let has_moved = known
            .is_none_or(|known| known.address != target.address || known.service != target.service);
        let down = known.is_some_and(|known| known.down) && !has_moved;
        let target = Target { down, ..target };
        if known.is_none_or(|known| **known != target) {
            records.push(Record::Target(target));
        }
    }
    records
}
