//! Whether this member's disk keeps up, judged from its own writes: no I/O is needed.
//!
//! A disk is stalled while its oldest unsynced write is older than a bound. Such a member neither
//! seeks votes nor gives any, and if it leads it hands over: everything it promises waits for its
//! disk. The first sync that returns makes it an ordinary follower again.

use crate::{Consensus, FingerprintTime, Role};
use postbarrow_constants::consensus::*;
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// Two ticks further apart than this mean that the process itself stood still.
const STOOD_STILL_MS: u64 = 5 * TICK_MS;

/// The writes that wait for their sync, by age.
#[derive(Clone, Debug)]
pub(crate) struct DiskHealth {
    now_ms: u64,
    /// Sequence and time of each unsynced write, one for all of a millisecond.
    unsynced: VecDeque<(u64, u64)>,
    /// The newest slot among them.
    slot: u64,
    /// Since when this leader has wanted to hand over because of its disk.
    yields_since_ms: Option<u64>,
}

impl DiskHealth {
    pub fn new(now_ms: u64) -> Self {
        DiskHealth { now_ms, unsynced: VecDeque::new(), slot: 0, yields_since_ms: None }
    }

    /// What a process learns of its disk, it learns while it runs: a pause makes no write older.
    pub fn at(&mut self, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.now_ms);
        self.now_ms = self.now_ms.max(now_ms);
        if gap_ms > STOOD_STILL_MS {
            self.unsynced.iter_mut().for_each(|(_, since_ms)| *since_ms += gap_ms);
        }
    }

    pub fn issued(&mut self, sequence: u64, slot: bool) {
        if slot {
            self.slot = sequence;
        }
        match self.unsynced.back_mut() {
            Some((last, since_ms)) if *since_ms == self.now_ms => *last = sequence,
            _ => self.unsynced.push_back((sequence, self.now_ms)),
        }
    }

    pub fn synced(&mut self, sequence: u64) {
        while self.unsynced.front().is_some_and(|(last, _)| *last <= sequence) {
            self.unsynced.pop_front();
        }
    }

    /// What later behaviour rests on, for searches over many states.
    pub fn fingerprint(&self, synced: u64, moment: FingerprintTime, into: &mut impl Hasher) {
        for (sequence, since_ms) in &self.unsynced {
            (sequence.saturating_sub(synced), moment.age(*since_ms)).hash(into);
        }
        self.slot.saturating_sub(synced).hash(into);
        self.yields_since_ms.map(|since_ms| moment.age(since_ms)).hash(into);
    }

    fn is_stalled(&self) -> bool {
        let Some((first, since_ms)) = self.unsynced.front() else { return false };
        let bound_ms = if self.slot >= *first { DISK_STALL_SLOT_MS } else { DISK_STALL_MS };
        self.now_ms.saturating_sub(*since_ms) > bound_ms
    }
}

impl Consensus {
    /// This member's disk keeps it waiting: it is no candidate, no voter and no good leader.
    pub fn is_disk_stalled(&self) -> bool {
        self.disk.is_stalled()
    }

    /// Another could lead in this one's place, which the owner should bring about by a handover.
    pub fn should_yield(&self) -> bool {
        let heard = |id| self.is_responsive(self.disk.now_ms, id);
        self.role == Role::Leader
            && self.is_disk_stalled()
            && self.others().iter().any(|other| heard(other.id))
    }

    /// A leader whose handover led to nothing steps down, so that the others hold an election.
    pub(crate) fn yield_tick(&mut self, now_ms: u64) {
        if self.role != Role::Leader {
            self.disk.yields_since_ms = None;
            return;
        }
        let Some(since_ms) = self.disk.yields_since_ms else {
            self.disk.yields_since_ms = self.should_yield().then_some(now_ms);
            return;
        };
        if !self.transferring_leadership && !self.should_yield() {
            self.disk.yields_since_ms = None;
        } else if now_ms >= since_ms + DISK_STEP_DOWN_MS {
            self.disk.yields_since_ms = None;
            self.follow(now_ms, self.term, None);
        }
    }
}
