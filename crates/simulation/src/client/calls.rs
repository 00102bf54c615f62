//! State and history of the callers: applications that use locks, numbers, keys and watches.

use postbarrow_state::{Call, Name, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// One completed call with its outcome; times are true times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedCall {
    /// The index of the caller.
    pub caller: usize,
    /// The time at which the call was sent first.
    pub start_us: u64,
    /// The time at which the outcome arrived.
    pub end_us: u64,
    /// The call as it was sent.
    pub call: Call,
    /// The outcome of the call.
    pub outcome: Outcome,
}

/// A call that a data node reads.
pub struct CallArrival {
    /// The index of the caller.
    pub(crate) caller: usize,
    /// The number of the call.
    pub(crate) number: u64,
    /// The call as it was sent.
    pub(crate) call: Call,
    /// Whether the node notices that the caller has departed.
    pub(crate) is_departure_noticed: bool,
}

/// A call without an outcome so far.
#[derive(Clone)]
pub struct PendingCall {
    /// The number of the call, which is part of its request id.
    pub(crate) number: u64,
    /// The true time at which the call was sent first, in microseconds.
    pub(crate) start_us: u64,
    pub(crate) call: Call,
    /// The index of the data node that the call was sent to last.
    pub(crate) node: usize,
    /// The true time at which the call was sent last, in microseconds.
    pub(crate) sent_us: u64,
}

/// The callers' state and the history of their calls.
#[derive(Default)]
pub struct Callers {
    /// The completed calls, in the order in which their outcomes arrived.
    pub completed: Vec<CompletedCall>,
    /// The revisions of the events that the watch received, in the order of arrival.
    pub watched_revisions: Vec<u64>,
    /// The revision after which the watch started; `None` before its first outcome.
    pub watch_from: Option<u64>,
    /// Number of times that the watch was refused because the events after its revision were no
    /// longer retained.
    pub too_old: u64,
    /// The callers that departed during the release of their lock and start it again.
    pub(crate) returning: BTreeSet<usize>,
    /// The true time until which a caller that has returned keeps its lock, in microseconds.
    pub(crate) keeps_lock_until_us: BTreeMap<usize, u64>,
    /// Number of callers that departed during the release of their lock.
    pub departures: u64,
    /// Number of releases that were confirmed.
    pub confirmations: u64,
    /// The pending call of each caller, by the caller's index.
    pub(crate) pending: BTreeMap<usize, PendingCall>,
    /// The lock that each caller holds, by the caller's index: its name, its fencing token and the
    /// true time at which it expires, in microseconds.
    pub(crate) locks: BTreeMap<usize, (Name, u64, u64)>,
    /// The caller that acquired the lock last and has not released it, with the true time at which
    /// the lock expires, in microseconds.
    pub(crate) lock_owner: Option<(usize, u64)>,
    /// The number of the newest call of any caller.
    pub(crate) number: u64,
    /// The newest revision of each key that a caller has learned.
    pub(crate) revisions: BTreeMap<Name, u64>,
}

impl Callers {
    /// Returns the highest number or revision of the call's name that was acknowledged before this
    /// true time; 0 if there is none.
    pub fn max_acknowledged(&self, call: &Call, before_us: u64) -> u64 {
        let finished = self.completed.iter().filter(|completed| completed.end_us < before_us);
        let values =
            finished.filter_map(|completed| match (call, &completed.call, &completed.outcome) {
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
