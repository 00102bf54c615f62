//! How a follower handles its leader's entries (thesis, 3.5): the consistency check, the removal of
//! conflicting entries, and the response.

use crate::{AppendRequest, AppendResponse, Consensus, Entry, Member, Message, Write};

impl Consensus {
    /// Stores a leader's entries if this log has the entry before them. The confirmation is sent
    /// once they are on disk; a refusal is sent at once.
    pub(crate) fn on_append(&mut self, now_ms: u64, from: Member, append: AppendRequest) {
        if append.term < self.term {
            let response = AppendResponse {
                term: self.term,
                match_index: None,
                next_index_hint: 0,
                sent_ms: 0,
            };
            return self.send(from, Message::AppendResponse(response));
        }
        self.on_leader_contact(now_ms, from, append.term, append.sent_ms);
        let mut response = AppendResponse {
            term: self.term,
            match_index: None,
            next_index_hint: 0,
            sent_ms: append.sent_ms,
        };
        if self.is_uninitialized() {
            return self.send(from, Message::AppendResponse(response));
        }
        if append.prev_index < self.log.base() {
            response.next_index_hint = self.commit_index + 1;
            return self.send(from, Message::AppendResponse(response));
        }
        if self.log.term_at(append.prev_index) != Some(append.prev_term) {
            response.next_index_hint = self.conflict_hint(append.prev_index);
            return self.send(from, Message::AppendResponse(response));
        }
        let verified_index = append.prev_index + append.entries.len() as u64;
        self.store_entries(append.entries);
        response.match_index = Some(verified_index);
        self.commit_to(append.commit_index.min(verified_index));
        self.send_after_sync(from, Message::AppendResponse(response));
    }

    /// Returns the index from which the leader should continue after a refusal. If this log has no
    /// entry at `prev_index`, that is the index after its last entry. Otherwise it is the index of
    /// the first uncommitted entry of the conflicting term, so that one response skips all entries
    /// of a term (thesis, 3.5).
    fn conflict_hint(&self, prev_index: u64) -> u64 {
        let Some(term) = self.log.term_at(prev_index) else { return self.log.last_index() + 1 };
        let mut first_index = prev_index;
        while first_index > self.commit_index + 1 && self.log.term_at(first_index - 1) == Some(term)
        {
            first_index -= 1;
        }
        first_index
    }

    /// Appends the entries that this log lacks. The first one whose term conflicts removes all
    /// entries from its index on.
    fn store_entries(&mut self, entries: Vec<Entry>) {
        let mut appended = Vec::new();
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate(entry.index),
                None if entry.index <= self.log.base() => continue,
                None => {}
            }
            self.log.push(entry.clone());
            appended.push(entry);
        }
        if !appended.is_empty() {
            self.write(Write::Append(appended));
            self.durability.on_append(self.log.last_index());
        }
    }

    fn truncate(&mut self, from: u64) {
        assert!(
            from > self.commit_index,
            "cannot truncate the log from index {from}: that entry is committed"
        );
        self.log.truncate(from);
        self.durability.on_truncate(from - 1);
        self.write(Write::Truncate { from });
    }
}
