//! What pages of the endpoint list change, until no transaction is open.

use postbarrow_constants::plans::DRAIN_TRANSACTION_WAIT_MS;
use postbarrow_state::{Name, Record, State, Target};

/// Rows of one page, and targets that a complete scan did not find.
pub(crate) struct DeferredChange {
    since_ms: u64,
    /// Whether a target departs, so that the change may not wait for long.
    is_urgent: bool,
    rows: Vec<Target>,
    gone: Vec<Name>,
    doubtful: Vec<Name>,
}

impl DeferredChange {
    pub fn of_rows(now_ms: u64, state: &State, rows: Vec<Target>) -> Self {
        Self::of_scan(now_ms, state, rows, Vec::new(), Vec::new())
    }

    pub fn of_scan(
        now_ms: u64,
        state: &State,
        rows: Vec<Target>,
        gone: Vec<Name>,
        doubtful: Vec<Name>,
    ) -> Self {
        let starts_draining = |row: &Target| {
            row.draining && state.targets.get(&row.instance).is_none_or(|known| !known.draining)
        };
        let is_urgent =
            !gone.is_empty() || !doubtful.is_empty() || rows.iter().any(starts_draining);
        DeferredChange { since_ms: now_ms, is_urgent, rows, gone, doubtful }
    }

    /// Whether an open transaction must be aborted for it.
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        self.is_urgent && now_ms >= self.since_ms + DRAIN_TRANSACTION_WAIT_MS
    }

    /// The records of the change in this state. A doubtful target gets no more requests while
    /// others of its service are live.
    pub fn records(self, state: &State) -> Vec<Record> {
        let mut records = row_records(state, self.rows);
        let known = |instance: &Name| state.targets.get(instance);
        for instance in self.gone.into_iter().filter(|instance| known(instance).is_some()) {
            records.push(Record::TargetGone(instance));
        }
        let doubtful = self.doubtful;
        for target in doubtful.iter().filter_map(known).filter(|target| !target.draining) {
            let replaces = |other: &Target| {
                other.service == target.service
                    && !(other.draining || other.down || doubtful.contains(&other.instance))
            };
            if state.targets.values().any(|other| replaces(other)) {
                records.push(Record::Target(Target { draining: true, ..target.as_ref().clone() }));
            }
        }
        records
    }
}

/// Records of the listed targets that differ from the state.
fn row_records(state: &State, rows: Vec<Target>) -> Vec<Record> {
    let mut records = Vec::new();
    for row in rows {
        let known = state.targets.get(&row.instance);
        let has_moved =
            known.is_none_or(|known| known.address != row.address || known.service != row.service);
        let down = known.is_some_and(|known| known.down) && !has_moved;
        let target = Target { down, ..row };
        if known.is_none_or(|known| **known != target) {
            records.push(Record::Target(target));
        }
    }
    records
}
