//! What of this member's own log is on disk, and which messages wait for a write (thesis, 3.8 and
//! 10.2.1).

use crate::deferred_sends::DeferredSends;
use crate::{Consensus, FingerprintTime, Member, Message, Role};
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// The writes issued and synced so far.
#[derive(Clone, Debug)]
pub(crate) struct Durability {
    /// The newest write issued.
    sequence: u64,
    /// The newest write synced.
    synced: u64,
    /// Sequence of each write with entries that is not synced, and the log's end after it.
    appended: VecDeque<(u64, u64)>,
    /// The newest entry on this disk.
    matched: u64,
    deferred: DeferredSends,
}

impl Durability {
    /// Everything up to the log's end was recovered from the disk.
    pub fn new(last_index: u64) -> Self {
        Durability {
            sequence: 0,
            synced: 0,
            appended: VecDeque::new(),
            matched: last_index,
            deferred: DeferredSends::default(),
        }
    }

    /// Number of the write that is issued now.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// The newest entry on this disk.
    pub fn matched(&self) -> u64 {
        self.matched
    }

    /// The write issued last brings the log up to `last_index`.
    pub fn on_append(&mut self, last_index: u64) {
        self.appended.push_back((self.sequence, last_index));
    }

    /// Entries after `last_index` are replaced: their writes don't count.
    pub fn on_truncate(&mut self, last_index: u64) {
        self.matched = self.matched.min(last_index);
        for (_, appended) in &mut self.appended {
            *appended = (*appended).min(last_index);
        }
    }

    /// The log was replaced by a snapshot that is not on disk yet.
    pub fn on_log_replaced(&mut self) {
        self.appended.clear();
        self.matched = 0;
    }

    /// Returns a message that may be sent now, since all writes are synced, or defers it.
    pub fn defer(&mut self, to: Member, message: Message) -> Option<Message> {
        if self.sequence <= self.synced {
            return Some(message);
        }
        self.deferred.push(self.sequence, to, message);
        None
    }

    fn on_synced(&mut self, sequence: u64) {
        self.synced = self.synced.max(sequence);
        while let Some((_, last_index)) =
            self.appended.pop_front_if(|(sequence, _)| *sequence <= self.synced)
        {
            self.matched = self.matched.max(last_index);
        }
    }

    /// What later behaviour depends on. Only how far each write is ahead of the newest sync
    /// matters, not its number.
    pub fn fingerprint(&self, time: FingerprintTime, into: &mut impl Hasher) {
        (self.matched, self.sequence - self.synced).hash(into);
        for (sequence, last_index) in &self.appended {
            (sequence.saturating_sub(self.synced), last_index).hash(into);
        }
        self.deferred.fingerprint(self.synced, time, into);
    }

    /// The newest write synced.
    pub fn synced(&self) -> u64 {
        self.synced
    }
}

impl Consensus {
    /// All writes up to `sequence` are on disk: what waited for them is sent, and counts.
    pub(crate) fn on_synced(&mut self, sequence: u64) {
        self.durability.on_synced(sequence);
        self.disk.on_synced(sequence);
        while let Some((to, message)) = self.durability.deferred.pop(self.durability.synced) {
            self.send(to, message);
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }
}
