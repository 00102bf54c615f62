//! Applications that call for locks, numbers, keys and watches: their state and history.

use postbarrow_state::{Call, Name, Outcome};
use std::collections::BTreeMap;

/// One completed call: when it was sent and answered, and its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedCall {
    pub caller: usize,
    pub start_us: u64,
    pub end_us: u64,
    pub call: Call,
    pub outcome: Outcome,
}

#[derive(Clone)]
pub struct PendingCall {
    pub(crate) number: u64,
    pub(crate) start_us: u64,
    pub(crate) call: Call,
    pub(crate) node: usize,
    pub(crate) sent_us: u64,
}

#[derive(Default)]
pub struct Callers {
    pub done: Vec<CompletedCall>,
    pub watched_revisions: Vec<u64>,
    pub watch_from: Option<u64>,
    pub too_old: u64,
    pub(crate) pending: BTreeMap<usize, PendingCall>,
    pub(crate) locks: BTreeMap<usize, (Name, u64, u64)>,
    pub(crate) lock_owner: Option<(usize, u64)>,
    pub(crate) number: u64,
    pub(crate) revisions: BTreeMap<Name, u64>,
}

impl Callers {
    /// The highest number or revision of the same name that was acknowledged before this time.
    pub fn max_acknowledged(&self, call: &Call, before_us: u64) -> u64 {
        let finished = self.done.iter().filter(|done| done.end_us < before_us);
        let values = finished.filter_map(|done| match (call, &done.call, &done.outcome) {
            (
                Call::ReadNumber { name },
                Call::Next { name: other, .. } | Call::ReadNumber { name: other },
                Outcome::Number(value),
            ) if name == other => Some(*value),
            (
                Call::ReadKey { name } | Call::Put { name, .. },
                Call::Put { name: other, .. } | Call::ReadKey { name: other },
                Outcome::Key(key),
            ) if name == other => Some(key.revision),
            _ => None,
        });
        values.max().unwrap_or(0)
    }
}
