//! The part of this member's log that is on disk, and the messages that wait for a write (thesis,
//! 3.8 and 10.2.1).

use crate::deferred_sends::DeferredSends;
use crate::{Consensus, FingerprintTime, Member, Message, Role};
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// The writes issued and synced so far, and the messages that wait for them.
#[derive(Clone, Debug)]
pub(crate) struct Durability {
    /// Sequence number of the newest write issued, or zero.
    last_issued: u64,
    /// Sequence number of the newest write synced, or zero.
    last_synced: u64,
    /// Sequence number of each unsynced write that contains entries, with the log's last index
    /// after it.
    unsynced_appends: VecDeque<(u64, u64)>,
    /// Index of the newest entry of the log that is on this member's disk.
    synced_index: u64,
    deferred: DeferredSends,
}

impl Durability {
    /// Returns the state at the start, when all entries up to `last_index` were recovered from the
    /// disk.
    pub fn new(last_index: u64) -> Self {
        Durability {
            last_issued: 0,
            last_synced: 0,
            unsynced_appends: VecDeque::new(),
            synced_index: last_index,
            deferred: DeferredSends::default(),
        }
    }

    /// Returns the sequence number of the write that is issued now.
    pub fn next_sequence(&mut self) -> u64 {
        self.last_issued += 1;
        self.last_issued
    }

    /// Returns the index of the newest entry of the log that is on this member's disk.
    pub fn synced_index(&self) -> u64 {
        self.synced_index
    }

    /// Records that the write issued last extends the log on disk to `last_index`.
    pub fn on_append(&mut self, last_index: u64) {
        self.unsynced_appends.push_back((self.last_issued, last_index));
    }

    /// Records that the entries after `last_index` are replaced: writes of them no longer count.
    pub fn on_truncate(&mut self, last_index: u64) {
        self.synced_index = self.synced_index.min(last_index);
        for (_, appended_index) in &mut self.unsynced_appends {
            *appended_index = (*appended_index).min(last_index);
        }
    }

    /// Records that the log was replaced by a snapshot that is not on disk yet.
    pub fn on_log_replaced(&mut self) {
        self.unsynced_appends.clear();
        self.synced_index = 0;
    }

    /// Returns the message if it may be sent now, since all writes are synced; otherwise defers it.
    pub fn defer(&mut self, to: Member, message: Message) -> Option<Message> {
        if self.last_issued <= self.last_synced {
            return Some(message);
        }
        self.deferred.push(self.last_issued, to, message);
        None
    }

    fn on_synced(&mut self, sequence: u64) {
        self.last_synced = self.last_synced.max(sequence);
        while let Some((_, last_index)) =
            self.unsynced_appends.pop_front_if(|(sequence, _)| *sequence <= self.last_synced)
        {
            self.synced_index = self.synced_index.max(last_index);
        }
    }

    /// Hashes the state that later behaviour depends on. Only how far each write is ahead of the
    /// newest sync matters, not its sequence number.
    pub fn fingerprint(&self, time: FingerprintTime, hasher: &mut impl Hasher) {
        (self.synced_index, self.last_issued - self.last_synced).hash(hasher);
        for (sequence, last_index) in &self.unsynced_appends {
            (sequence.saturating_sub(self.last_synced), last_index).hash(hasher);
        }
        self.deferred.fingerprint(self.last_synced, time, hasher);
    }

    /// Returns the sequence number of the newest write synced, or zero.
    pub fn last_synced(&self) -> u64 {
        self.last_synced
    }
}

impl Consensus {
    /// Handles the sync of all writes up to `sequence`: sends the messages that waited for them
    /// and, on a leader, commits the entries that a majority now has on disk.
    pub(crate) fn on_synced(&mut self, sequence: u64) {
        self.durability.on_synced(sequence);
        self.disk.on_synced(sequence);
        while let Some((to, message)) =
            self.durability.deferred.pop_synced(self.durability.last_synced)
        {
            self.send(to, message);
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }
}
