//! The part of the log that is in memory: the entries after a base index, which a snapshot covers,
//! and the configurations that apply to them.

use crate::{Entry, Member, MemberId, Payload, RecoveredState, Snapshot};
use std::collections::VecDeque;

/// The entries after a base index, the configuration that applies at the base, and each later
/// configuration with the index from which it applies.
#[derive(Clone, Debug, Hash)]
pub struct RaftLog {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    configs: Vec<(u64, Vec<Member>)>,
}

impl RaftLog {
    /// Builds the log from the state that the disk returned. An entry that does not directly follow
    /// the one before it is skipped.
    pub fn recovered(recovered: &RecoveredState) -> Self {
        let mut log =
            RaftLog { base_index: 0, base_term: 0, entries: VecDeque::new(), configs: Vec::new() };
        if let Some(snapshot) = &recovered.snapshot {
            log.reset(snapshot);
        }
        for entry in &recovered.entries {
            if entry.index == log.last_index() + 1 {
                log.push(entry.clone());
            }
        }
        log
    }

    /// Drops all entries and continues from a snapshot's index, term and configuration.
    pub fn reset(&mut self, snapshot: &Snapshot) {
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.entries.clear();
        self.configs = vec![(snapshot.index, snapshot.members.clone())];
    }

    /// Appends the next entry. A configuration applies from its own entry on, committed or not
    /// (thesis, 4.1).
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Members(members) = &entry.payload {
            self.configs.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from index `from` on, and the configurations that they contain.
    pub fn truncate(&mut self, from: u64) {
        while self.last_index() >= from && !self.entries.is_empty() {
            self.entries.pop_back();
        }
        let first = self.configs.first().cloned();
        self.configs.retain(|(index, _)| *index < from);
        if self.configs.is_empty() {
            self.configs.extend(first);
        }
    }

    /// Drops entries up to `index`, which a snapshot covers, and moves the base there.
    pub fn compact_to(&mut self, index: u64) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else { break };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        let base_config = self.configs.iter().rposition(|(index, _)| *index <= self.base_index);
        self.configs.drain(..base_config.unwrap_or(0));
    }

    /// Returns the approximate size in bytes of all entries after `index`.
    pub fn bytes_after(&self, index: u64) -> u64 {
        let skipped = index.saturating_sub(self.base_index) as usize;
        self.entries.iter().skip(skipped).map(|entry| entry.size_bytes() as u64).sum()
    }

    /// Returns the lowest base such that the entries after it, up to `index`, are at most `entries`
    /// in number and `size_bytes` bytes in total.
    pub fn base_retaining(&self, index: u64, entries: u64, size_bytes: u64) -> u64 {
        let mut base = index.min(self.last_index());
        let mut remaining_bytes = size_bytes;
        while index - base < entries
            && let Some(entry) = self.get(base)
            && let Some(rest_bytes) = remaining_bytes.checked_sub(entry.size_bytes() as u64)
        {
            remaining_bytes = rest_bytes;
            base -= 1;
        }
        base
    }

    /// Returns the index of the entry before the first one in memory.
    pub fn base(&self) -> u64 {
        self.base_index
    }

    /// Returns the index of the last entry, or that of the base if there is no entry after it.
    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Returns the term of the last entry, or that of the base if there is no entry after it.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`, if it is in memory or is the base.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`, if it is in memory.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns the entries from index `from` on, up to `max_bytes` in total; the first one is
    /// returned whatever its size.
    pub fn slice(&self, from: u64, max_bytes: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut size_bytes = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            size_bytes += entry.size_bytes();
            if !entries.is_empty() && size_bytes > max_bytes {
                break;
            }
            entries.push(entry.clone());
            index += 1;
        }
        entries
    }

    /// Returns the entries in memory from index `from` to index `to`, both included.
    pub fn range(&self, from: u64, to: u64) -> Vec<Entry> {
        (from..=to).filter_map(|index| self.get(index).cloned()).collect()
    }

    /// Returns the voters of the newest configuration, committed or not; empty if there is none.
    pub fn members(&self) -> &[Member] {
        self.configs.last().map_or(&[], |(_, members)| members)
    }

    /// Returns the voters of the configuration that applies at `index`; empty if there is none.
    pub fn members_at(&self, index: u64) -> Vec<Member> {
        let config = self.configs.iter().rev().find(|(from, _)| *from <= index);
        config.map_or_else(Vec::new, |(_, members)| members.clone())
    }

    /// Returns the index from which the newest configuration applies, or zero if there is none.
    pub fn config_index(&self) -> u64 {
        self.configs.last().map_or(0, |(index, _)| *index)
    }

    /// Returns whether the member is a voter of the newest configuration.
    pub fn is_member(&self, id: MemberId) -> bool {
        self.members().iter().any(|member| member.id == id)
    }
}
