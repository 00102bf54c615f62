//! Where locks expire.

use crate::ControlNode;
use postbarrow_constants::consensus::HEARTBEAT_MS;
use postbarrow_state::{Name, Record};

impl ControlNode {
    /// Frees locks whose time is over. A leader that was suspended gives owners that time back.
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
        let is_locked =
            |name: &Name| self.current().is_some_and(|state| state.locks.contains_key(name));
        let freed: Vec<Record> =
            expired.into_iter().filter(is_locked).map(|name| Record::LockFreed { name }).collect();
        if !freed.is_empty() {
            self.propose(now_ms, freed);
        }
    }
}
