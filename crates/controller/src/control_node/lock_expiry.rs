//! Frees expired locks.

use crate::ControlNode;
use postbarrow_constants::consensus::HEARTBEAT_MS;
use postbarrow_state::{Name, Record};

impl ControlNode {
    /// Frees the locks that have expired. If this leader was suspended, all expiry times are first
    /// postponed by `gap_ms`, the time since its last tick, because owners could not renew
    /// meanwhile.
    pub(super) fn lock_expiry_tick(&mut self, now_ms: u64, gap_ms: u64) {
        let is_open = self.has_open_transaction();
        let Some(leader) = &mut self.leader else { return };
        if gap_ms > HEARTBEAT_MS {
            leader.locks.postpone(gap_ms);
        }
        if is_open {
            return;
        }
        let expired = leader.locks.take_expired(now_ms);
        expired.iter().for_each(|name| leader.grants.remove(name));
        let is_locked =
            |name: &Name| self.proposed_state().is_some_and(|state| state.locks.contains_key(name));
        let freed: Vec<Record> =
            expired.into_iter().filter(is_locked).map(|name| Record::LockFreed { name }).collect();
        if !freed.is_empty() {
            self.propose(now_ms, freed);
        }
    }
}
