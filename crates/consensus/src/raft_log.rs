use crate::{Entry, Member, MemberId, Payload, RecoveredState, Snapshot};
use std::collections::VecDeque;

/// Entries since a base; the base's members and every later change are kept beside them.
#[derive(Clone, Debug, Hash)]
pub struct RaftLog {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    configs: Vec<(u64, Vec<Member>)>,
}

impl RaftLog {
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

    pub fn reset(&mut self, snapshot: &Snapshot) {
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.entries.clear();
        self.configs = vec![(snapshot.index, snapshot.members.clone())];
    }

    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Members(members) = &entry.payload {
            self.configs.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

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

    /// Drops entries up to `index`, of which the snapshot at or above speaks.
    pub fn compact_to(&mut self, index: u64) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else { break };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        let kept = self.configs.iter().rposition(|(at, _)| *at <= self.base_index).unwrap_or(0);
        self.configs.drain(..kept);
    }

    /// Bytes of all entries after `index`.
    pub fn bytes_after(&self, index: u64) -> u64 {
        let known = index.saturating_sub(self.base_index) as usize;
        self.entries.iter().skip(known).map(|entry| entry.size() as u64).sum()
    }

    /// The lowest base that keeps, up to `index`, no more than so many entries and bytes.
    pub fn base_keeping(&self, index: u64, entries: u64, size_bytes: u64) -> u64 {
        let mut base = index.min(self.last_index());
        let mut left_bytes = size_bytes;
        while index - base < entries
            && let Some(entry) = self.get(base)
            && let Some(left) = left_bytes.checked_sub(entry.size() as u64)
        {
            left_bytes = left;
            base -= 1;
        }
        base
    }

    pub fn base(&self) -> u64 {
        self.base_index
    }
    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    pub fn slice(&self, from: u64, most: usize) -> Vec<Entry> {
        let mut out = Vec::new();
        let mut size = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            size += entry.size();
            if !out.is_empty() && size > most {
                break;
            }
            out.push(entry.clone());
            index += 1;
        }
        out
    }

    pub fn range(&self, from: u64, to: u64) -> Vec<Entry> {
        (from..=to).filter_map(|index| self.get(index).cloned()).collect()
    }

    pub fn members(&self) -> &[Member] {
        self.configs.last().map_or(&[], |(_, members)| members)
    }
    pub fn members_at(&self, index: u64) -> Vec<Member> {
        let found = self.configs.iter().rev().find(|(at, _)| *at <= index);
        found.map_or_else(Vec::new, |(_, members)| members.clone())
    }
    pub fn config_index(&self) -> u64 {
        self.configs.last().map_or(0, |(index, _)| *index)
    }
    pub fn is_member(&self, id: MemberId) -> bool {
        self.members().iter().any(|member| member.id == id)
    }
}
