//! Detection of a stalled disk by the age of this member's own writes, without additional I/O.
//!
//! A disk is stalled while its oldest unsynced write is older than a limit. A member with a stalled
//! disk neither campaigns nor votes, and if it leads, it transfers leadership, because everything
//! that it acknowledges waits for its disk. The first sync that returns makes it an ordinary
//! follower again.

use crate::{Consensus, FingerprintTime, Role};
use postbarrow_constants::consensus::*;
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// Interval in milliseconds between two inputs above which the process itself is assumed to have
/// been paused.
const PROCESS_PAUSE_MS: u64 = 5 * TICK_MS;

/// Consecutive writes that were issued in the same millisecond and are not synced.
#[derive(Clone, Copy, Debug)]
struct UnsyncedWrites {
    last_sequence: u64,
    issued_ms: u64,
}

/// The writes that are not synced, oldest first, and the clock that gives their age.
#[derive(Clone, Debug)]
pub(crate) struct DiskHealth {
    now_ms: u64,
    unsynced: VecDeque<UnsyncedWrites>,
    /// Sequence number of the newest write of a slot, which takes longer than other writes; zero if
    /// there was none.
    newest_slot_sequence: u64,
    /// Since when this leader should transfer leadership because of its disk; absent if it should
    /// not.
    transfer_due_since_ms: Option<u64>,
}

impl DiskHealth {
    /// Returns the state before the first write.
    pub fn new(now_ms: u64) -> Self {
        DiskHealth {
            now_ms,
            unsynced: VecDeque::new(),
            newest_slot_sequence: 0,
            transfer_due_since_ms: None,
        }
    }

    /// Sets the clock to `now_ms`. A disk can only be observed while the process runs, so a pause
    /// of the process does not add to the age of a write.
    pub fn advance_clock(&mut self, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.now_ms);
        self.now_ms = self.now_ms.max(now_ms);
        if gap_ms > PROCESS_PAUSE_MS {
            self.unsynced.iter_mut().for_each(|writes| writes.issued_ms += gap_ms);
        }
    }

    /// Records a write that is issued now.
    pub fn on_write(&mut self, sequence: u64, is_slot: bool) {
        if is_slot {
            self.newest_slot_sequence = sequence;
        }
        match self.unsynced.back_mut() {
            Some(writes) if writes.issued_ms == self.now_ms => writes.last_sequence = sequence,
            _ => self
                .unsynced
                .push_back(UnsyncedWrites { last_sequence: sequence, issued_ms: self.now_ms }),
        }
    }

    /// Removes all writes up to `sequence`, which are synced.
    pub fn on_synced(&mut self, sequence: u64) {
        while self.unsynced.front().is_some_and(|writes| writes.last_sequence <= sequence) {
            self.unsynced.pop_front();
        }
    }

    /// Hashes the state that later behaviour depends on.
    pub fn fingerprint(&self, synced: u64, time: FingerprintTime, hasher: &mut impl Hasher) {
        for writes in &self.unsynced {
            let ahead = writes.last_sequence.saturating_sub(synced);
            (ahead, time.age(writes.issued_ms)).hash(hasher);
        }
        self.newest_slot_sequence.saturating_sub(synced).hash(hasher);
        self.transfer_due_since_ms.map(|since_ms| time.age(since_ms)).hash(hasher);
    }

    fn is_stalled(&self) -> bool {
        let Some(oldest) = self.unsynced.front() else { return false };
        let is_slot_pending = self.newest_slot_sequence >= oldest.last_sequence;
        let limit_ms = if is_slot_pending { DISK_STALL_SLOT_MS } else { DISK_STALL_MS };
        self.now_ms.saturating_sub(oldest.issued_ms) > limit_ms
    }
}

impl Consensus {
    /// Returns whether this member's disk is stalled. Such a member neither campaigns nor votes,
    /// and should not lead.
    pub fn is_disk_stalled(&self) -> bool {
        self.disk.is_stalled()
    }

    /// Returns whether this member leads with a stalled disk while another voter responds. Its
    /// owner should then pass [`Input::TransferLeadership`](crate::Input::TransferLeadership).
    pub fn should_transfer_leadership(&self) -> bool {
        self.role == Role::Leader
            && self.is_disk_stalled()
            && self.peers().iter().any(|peer| self.is_responsive(self.disk.now_ms, peer.id))
    }

    /// Makes a leader with a stalled disk step down if it could not transfer leadership within
    /// `DISK_STEP_DOWN_MS`, so that the others hold an election.
    pub(crate) fn stalled_leader_tick(&mut self, now_ms: u64) {
        if self.role != Role::Leader {
            self.disk.transfer_due_since_ms = None;
            return;
        }
        let Some(since_ms) = self.disk.transfer_due_since_ms else {
            self.disk.transfer_due_since_ms = self.should_transfer_leadership().then_some(now_ms);
            return;
        };
        if !self.leader_state.is_transferring && !self.should_transfer_leadership() {
            self.disk.transfer_due_since_ms = None;
        } else if now_ms >= since_ms + DISK_STEP_DOWN_MS {
            self.disk.transfer_due_since_ms = None;
            self.become_follower(now_ms, self.term, None);
        }
    }
}
