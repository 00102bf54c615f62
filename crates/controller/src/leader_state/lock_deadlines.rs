//! When the leader's locks expire.

use postbarrow_state::{Name, State};
use std::collections::BTreeMap;

/// Each lock's expiry by this leader's clock.
#[derive(Default)]
pub(crate) struct LockDeadlines {
    due_ms: BTreeMap<Name, u64>,
}

impl LockDeadlines {
    /// A new leader doesn't know when a lock was renewed, so each gets its full time again.
    pub fn of(now_ms: u64, state: &State) -> Self {
        let locks = state.locks.iter();
        let due_ms = locks.map(|(name, lock)| (name.clone(), now_ms + lock.ttl_ms)).collect();
        LockDeadlines { due_ms }
    }

    /// Never shortens the time that a lock has.
    pub fn extend(&mut self, name: &Name, due_ms: u64) {
        let known_ms = self.due_ms.entry(name.clone()).or_default();
        *known_ms = (*known_ms).max(due_ms);
    }

    /// A lock's record was committed: its time starts now.
    pub fn on_committed(&mut self, name: &Name, due_ms: u64) {
        self.due_ms.insert(name.clone(), due_ms);
    }

    /// Gives owners back the time in which this leader was suspended.
    pub fn postpone(&mut self, gap_ms: u64) {
        self.due_ms.values_mut().for_each(|due_ms| *due_ms += gap_ms);
    }

    /// Removes and returns the locks whose time is over.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<Name> {
        let is_expired = |(_, due_ms): &(&Name, &u64)| **due_ms <= now_ms;
        let expired: Vec<Name> =
            self.due_ms.iter().filter(is_expired).map(|(name, _)| name.clone()).collect();
        for name in &expired {
            self.due_ms.remove(name);
        }
        expired
    }
}
