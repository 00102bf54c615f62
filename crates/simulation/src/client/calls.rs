//! Applications that call for locks, numbers, keys and watches: their state and history.

use postbarrow_state::{Call, Name, Outcome};
use std::collections::BTreeMap;

/// One completed call: when it was sent and answered, and its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedCall {
    /// Which caller.
    pub caller: usize,
    /// When it was first sent.
    pub start_us: u64,
    /// When its outcome arrived.
    pub end_us: u64,
    /// The call.
    pub call: Call,
    /// Its outcome.
    pub outcome: Outcome,
}

/// A call without an outcome so far, and the node that it was sent to last.
#[derive(Clone)]
pub struct PendingCall {
    pub(crate) number: u64,
    pub(crate) start_us: u64,
    pub(crate) call: Call,
    pub(crate) node: usize,
    pub(crate) sent_us: u64,
}

/// The callers' state and the history of their calls.
#[derive(Default)]
pub struct Callers {
    /// Completed calls, in the order of their outcomes.
    pub done: Vec<CompletedCall>,
    /// Revisions of the events that the watch received, in the order of their arrival.
    pub watched_revisions: Vec<u64>,
    /// The revision after which the watch started.
    pub watch_from: Option<u64>,
    /// How often the watch had to start again, since its events were no longer retained.
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
