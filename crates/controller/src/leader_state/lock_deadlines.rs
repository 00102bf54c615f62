//! Expiry times of locks, as the leader tracks them.

use postbarrow_state::{Name, State};
use std::collections::BTreeMap;

/// The expiry time of each lock, in milliseconds of this leader's clock.
#[derive(Default)]
pub(crate) struct LockDeadlines {
    expires_at_ms: BTreeMap<Name, u64>,
}

impl LockDeadlines {
    /// Creates the expiry times of a new leader. It doesn't know when a lock was last renewed, so
    /// each lock gets its full time again.
    pub fn from_state(now_ms: u64, state: &State) -> Self {
        let locks = state.locks.iter();
        let expires_at_ms =
            locks.map(|(name, lock)| (name.clone(), now_ms + lock.ttl_ms)).collect();
        LockDeadlines { expires_at_ms }
    }

    /// Extends a lock's expiry time; a time earlier than the current one is ignored.
    pub fn extend(&mut self, name: &Name, expires_at_ms: u64) {
        let current_ms = self.expires_at_ms.entry(name.clone()).or_default();
        *current_ms = (*current_ms).max(expires_at_ms);
    }

    /// Sets a lock's expiry time when its record is committed; its full time starts then.
    pub fn on_committed(&mut self, name: &Name, expires_at_ms: u64) {
        self.expires_at_ms.insert(name.clone(), expires_at_ms);
    }

    /// Postpones all expiry times by the time during which this leader was suspended, in
    /// milliseconds.
    pub fn postpone(&mut self, gap_ms: u64) {
        self.expires_at_ms.values_mut().for_each(|expires_at_ms| *expires_at_ms += gap_ms);
    }

    /// Removes and returns the locks that have expired.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<Name> {
        let is_expired = |(_, expires_at_ms): &(&Name, &u64)| **expires_at_ms <= now_ms;
        let expired: Vec<Name> =
            self.expires_at_ms.iter().filter(is_expired).map(|(name, _)| name.clone()).collect();
        for name in &expired {
            self.expires_at_ms.remove(name);
        }
        expired
    }
}
