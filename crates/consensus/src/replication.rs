//! Entries from the leader's log to its followers', and what a majority has.

use crate::*;
use postbarrow_constants::consensus::*;

impl Consensus {
    pub(crate) fn propose(&mut self, now_ms: u64, batches: Vec<Vec<u8>>) {
        if self.role == Role::Leader {
            self.append_own(now_ms, batches.into_iter().map(Payload::Batch).collect());
        }
    }

    pub(crate) fn append_own(&mut self, now_ms: u64, payloads: Vec<Payload>) {
        let mut entries = Vec::with_capacity(payloads.len());
        for payload in payloads {
            let entry = Entry { term: self.term, index: self.log.last_index() + 1, payload };
            self.log.push(entry.clone());
            entries.push(entry);
        }
        self.write(Write::Append(entries));
        self.appended.push_back((self.sequence, self.log.last_index()));
        self.replicate(now_ms);
        self.advance_commit();
    }

    pub(crate) fn leader_tick(&mut self, now_ms: u64) {
        let silent = self.lease_until().saturating_add(ELECTION_MIN_MS) < now_ms;
        let settled =
            self.progress.values().all(|known| known.last_response_ms + ELECTION_MIN_MS < now_ms);
        if silent && settled && !self.progress.is_empty() {
            return self.follow(now_ms, self.term, None);
        }
        if now_ms >= self.heartbeat_due_ms {
            self.heartbeat_due_ms = now_ms + HEARTBEAT_MS;
            let ids: Vec<MemberId> = self.progress.keys().copied().collect();
            for id in ids {
                self.send_append(now_ms, id, true);
            }
        }
    }

    pub(crate) fn replicate(&mut self, now_ms: u64) {
        let ids: Vec<MemberId> = self.progress.keys().copied().collect();
        for id in ids {
            self.send_append(now_ms, id, false);
        }
    }

    /// Sends what may be under way; a beat goes in any case, without entries if need be.
    pub(crate) fn send_append(&mut self, now_ms: u64, id: MemberId, beat: bool) {
        let Some(known) = self.progress.get(&id) else { return };
        let needs_snapshot = known.sending.is_some() || known.next <= self.log.base();
        if needs_snapshot {
            self.send_snapshot(now_ms, id);
        }
        let sent = !needs_snapshot && self.send_entries(now_ms, id);
        if beat && !sent {
            self.send_frame(now_ms, id, Vec::new());
        }
    }

    /// Frames of entries until the follower has enough under way; whether any went.
    fn send_entries(&mut self, now_ms: u64, id: MemberId) -> bool {
        let mut sent = false;
        while let Some(known) = self.progress.get(&id) {
            let entries = self.log.slice(known.next, APPEND_BYTES);
            if entries.is_empty() || !known.may_send(&entries) {
                break;
            }
            self.send_frame(now_ms, id, entries);
            sent = true;
        }
        sent
    }

    fn send_frame(&mut self, now_ms: u64, id: MemberId, entries: Vec<Entry>) {
        let Some(known) = self.progress.get_mut(&id) else { return };
        let (to, prev) = (known.member, known.next - 1);
        known.sent(&entries);
        let append = AppendRequest {
            term: self.term,
            prev_index: prev,
            prev_term: self.log.term_at(prev).unwrap_or(0),
            entries,
            commit: self.commit_index,
            sent_ms: now_ms,
        };
        self.send(to, Message::Append(append));
    }

    /// A frame of the leader of this term: no election while such frames come.
    pub(crate) fn hear_leader(&mut self, now_ms: u64, from: Member, term: u64, sent_ms: u64) {
        if term > self.term || self.role != Role::Follower || self.leader != Some(from.id) {
            self.follow(now_ms, term, Some(from.id));
        }
        self.leader_contact_ms = now_ms;
        self.denied_leadership = false;
        self.note_offset(now_ms, sent_ms);
        self.set_election(now_ms);
    }

    pub(crate) fn on_append(&mut self, now_ms: u64, from: Member, append: AppendRequest) {
        if append.term < self.term {
            let response = AppendResponse { term: self.term, matched: None, hint: 0, sent_ms: 0 };
            return self.send(from, Message::AppendResponse(response));
        }
        self.hear_leader(now_ms, from, append.term, append.sent_ms);
        let mut response =
            AppendResponse { term: self.term, matched: None, hint: 0, sent_ms: append.sent_ms };
        if self.is_uninitialized() {
            return self.send(from, Message::AppendResponse(response));
        }
        if append.prev_index < self.log.base() {
            response.hint = self.commit_index + 1;
            return self.send(from, Message::AppendResponse(response));
        }
        if self.log.term_at(append.prev_index) != Some(append.prev_term) {
            response.hint = self.conflict_hint(append.prev_index);
            return self.send(from, Message::AppendResponse(response));
        }
        let verified = append.prev_index + append.entries.len() as u64;
        self.store(append.entries);
        response.matched = Some(verified);
        self.commit_to(append.commit.min(verified));
        self.send_after_sync(from, Message::AppendResponse(response));
    }

    fn conflict_hint(&self, prev: u64) -> u64 {
        let Some(term) = self.log.term_at(prev) else { return self.log.last_index() + 1 };
        let mut first = prev;
        while first > self.commit_index + 1 && self.log.term_at(first - 1) == Some(term) {
            first -= 1;
        }
        first
    }

    fn store(&mut self, entries: Vec<Entry>) {
        let mut fresh = Vec::new();
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    assert!(entry.index > self.commit_index, "a committed entry is never replaced");
                    self.log.truncate(entry.index);
                    self.self_match = self.self_match.min(entry.index - 1);
                    for (_, last) in &mut self.appended {
                        *last = (*last).min(entry.index - 1);
                    }
                    self.write(Write::Truncate { from: entry.index });
                }
                None if entry.index <= self.log.base() => continue,
                None => {}
            }
            self.log.push(entry.clone());
            fresh.push(entry);
        }
        if !fresh.is_empty() {
            self.write(Write::Append(fresh));
            self.appended.push_back((self.sequence, self.log.last_index()));
        }
    }

    pub(crate) fn on_append_response(&mut self, now_ms: u64, from: Member, got: AppendResponse) {
        if got.term > self.term {
            return self.follow(now_ms, got.term, None);
        }
        if self.role != Role::Leader || got.term < self.term {
            return;
        }
        let last = self.log.last_index();
        let Some(known) = self.progress.get_mut(&from.id) else { return };
        known.last_response_ms = now_ms;
        known.acknowledged_send_ms = known.acknowledged_send_ms.max(got.sent_ms);
        match got.matched {
            Some(matched) => {
                known.confirmed(matched, got.sent_ms);
                self.advance_commit();
                self.send_append(now_ms, from.id, false);
            }
            None if got.hint == 0 => self.send_snapshot(now_ms, from.id),
            None if known.sending.is_some() || !known.heeds_refusal(got.sent_ms) => {}
            None => {
                known.restart_at(got.hint.clamp(known.matched + 1, last + 1), now_ms);
                self.send_append(now_ms, from.id, true);
            }
        }
    }

    pub(crate) fn advance_commit(&mut self) {
        let members = self.log.members();
        let mut matches: Vec<u64> = members
            .iter()
            .map(|member| match self.progress.get(&member.id) {
                _ if member.id == self.id => self.self_match,
                Some(known) => known.matched,
                None => 0,
            })
            .collect();
        matches.sort_unstable_by(|a, b| b.cmp(a));
        let agreed = matches.get(members.len() / 2).copied().unwrap_or(0);
        if agreed > self.commit_index && self.log.term_at(agreed) == Some(self.term) {
            self.commit_to(agreed);
        }
    }

    pub(crate) fn commit_to(&mut self, index: u64) {
        let index = index.min(self.log.last_index());
        if index <= self.commit_index {
            return;
        }
        let entries = self.log.range(self.commit_index + 1, index);
        self.commit_index = index;
        self.effects.push(Effect::Commit(entries));
    }
}
