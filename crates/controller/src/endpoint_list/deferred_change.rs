//! Changes that pages of the endpoint list make to the state, deferred while a transaction is open.

use postbarrow_constants::plans::DRAIN_TRANSACTION_WAIT_MS;
use postbarrow_state::{Name, Record, State, Target};

/// The rows of one page and, after a complete scan, the targets that it did not find.
pub(crate) struct DeferredChange {
    since_ms: u64,
    /// Whether a target drains or is missing from the list, so that the change may be deferred for
    /// `DRAIN_TRANSACTION_WAIT_MS` at most.
    is_urgent: bool,
    rows: Vec<Target>,
    removed: Vec<Name>,
    unconfirmed: Vec<Name>,
}

impl DeferredChange {
    pub fn from_rows(now_ms: u64, state: &State, rows: Vec<Target>) -> Self {
        Self::from_scan(now_ms, state, rows, Vec::new(), Vec::new())
    }

    pub fn from_scan(
        now_ms: u64,
        state: &State,
        rows: Vec<Target>,
        removed: Vec<Name>,
        unconfirmed: Vec<Name>,
    ) -> Self {
        let starts_draining = |row: &Target| {
            row.draining && state.targets.get(&row.instance).is_none_or(|known| !known.draining)
        };
        let is_urgent =
            !removed.is_empty() || !unconfirmed.is_empty() || rows.iter().any(starts_draining);
        DeferredChange { since_ms: now_ms, is_urgent, rows, removed, unconfirmed }
    }

    /// Returns whether the open transaction must be aborted so that this change can be applied.
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        self.is_urgent && now_ms >= self.since_ms + DRAIN_TRANSACTION_WAIT_MS
    }

    /// Returns the records that apply the change to this state. An unconfirmed target is marked as
    /// draining, so that it gets no new requests, if its service has another live target.
    pub fn records(self, state: &State) -> Vec<Record> {
        let mut records = row_records(state, self.rows);
        let known = |instance: &Name| state.targets.get(instance);
        for instance in self.removed.into_iter().filter(|instance| known(instance).is_some()) {
            records.push(Record::TargetGone(instance));
        }
        let unconfirmed = self.unconfirmed;
        for target in unconfirmed.iter().filter_map(known).filter(|target| !target.draining) {
            let replaces = |other: &Target| {
                other.service == target.service
                    && !(other.draining || other.down || unconfirmed.contains(&other.instance))
            };
            if state.targets.values().any(|other| replaces(other)) {
                records.push(Record::Target(Target { draining: true, ..target.as_ref().clone() }));
            }
        }
        records
    }
}

/// Returns records for the listed targets that differ from the state. A target keeps its `down`
/// mark unless its address or service changed.
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
