use crate::*;
use postbarrow_constants::consensus::*;

impl Consensus {
    pub(crate) fn propose(&mut self, nowMs: u64, batches: Vec<Vec<u8>>) {
        if self.role == Role::Leader {
            self.append_own(nowMs, batches.into_iter().map(Payload::Batch).collect());
        }
    }

    pub(crate) fn append_own(&mut self, nowMs: u64, payloads: Vec<Payload>) {
        let mut entries = Vec::with_capacity(payloads.len());
        for payload in payloads {
            let entry = Entry { term: self.term, index: self.log.last() + 1, payload };
            self.log.push(entry.clone());
            entries.push(entry);
        }
        self.write(Write::Append(entries));
        self.appended.push_back((self.sequence, self.log.last()));
        self.replicate(nowMs);
        self.advance_commit();
    }

    pub(crate) fn leader_pulse(&mut self, nowMs: u64) {
        let silent = self.hold_until().saturating_add(ELECTION_MIN_MS) < nowMs;
        let settled = self.progress.values().all(|known| known.heardMs + ELECTION_MIN_MS < nowMs);
        if silent && settled && !self.progress.is_empty() {
            return self.follow(nowMs, self.term, None);
        }
        if nowMs >= self.beatDueMs {
            self.beatDueMs = nowMs + HEARTBEAT_MS;
            let ids: Vec<MemberId> = self.progress.keys().copied().collect();
            for id in ids {
                self.send_append(nowMs, id, true);
            }
            self.change_members(nowMs);
        }
    }

    pub(crate) fn replicate(&mut self, nowMs: u64) {
        let ids: Vec<MemberId> = self.progress.keys().copied().collect();
        for id in ids {
            self.send_append(nowMs, id, false);
        }
    }

    pub(crate) fn send_append(&mut self, nowMs: u64, id: MemberId, beat: bool) {
        let Some(known) = self.progress.get(&id) else { return };
        if known.sending.is_some() || known.next <= self.log.base() {
            return self.send_snapshot(nowMs, id);
        }
        let to = known.member;
        let prev = known.next - 1;
        let entries = self.log.slice(known.next, APPEND_BYTES);
        if entries.is_empty() && !beat {
            return;
        }
        let next = known.next + entries.len() as u64;
        let append = Append {
            term: self.term,
            prev,
            prevTerm: self.log.term_at(prev).unwrap_or(0),
            entries,
            commit: self.commit,
            sentMs: nowMs,
        };
        if let Some(known) = self.progress.get_mut(&id) {
            known.next = next;
        }
        self.send(to, Message::Append(append));
    }

    pub(crate) fn on_append(&mut self, nowMs: u64, from: Member, append: Append) {
        if append.term < self.term {
            let response = AppendResponse { term: self.term, matched: None, hint: 0, sentMs: 0 };
            return self.send(from, Message::AppendResponse(response));
        }
        if append.term > self.term || self.role != Role::Follower || self.leader != Some(from.id) {
            self.follow(nowMs, append.term, Some(from.id));
        }
        self.heardMs = nowMs;
        self.freed = false;
        self.note_offset(nowMs, append.sentMs);
        self.set_election(nowMs);
        let mut response =
            AppendResponse { term: self.term, matched: None, hint: 0, sentMs: append.sentMs };
        if self.is_fresh() {
            return self.send(from, Message::AppendResponse(response));
        }
        if append.prev < self.log.base() {
            response.hint = self.commit + 1;
            return self.send(from, Message::AppendResponse(response));
        }
        if self.log.term_at(append.prev) != Some(append.prevTerm) {
            response.hint = self.conflict_hint(append.prev);
            return self.send(from, Message::AppendResponse(response));
        }
        let verified = append.prev + append.entries.len() as u64;
        self.store(append.entries);
        response.matched = Some(verified);
        self.commit_to(append.commit.min(verified));
        self.send_after_sync(from, Message::AppendResponse(response));
    }

    fn conflict_hint(&self, prev: u64) -> u64 {
        let Some(term) = self.log.term_at(prev) else { return self.log.last() + 1 };
        let mut first = prev;
        while first > self.commit + 1 && self.log.term_at(first - 1) == Some(term) {
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
                    assert!(entry.index > self.commit, "a committed entry is never replaced");
                    self.log.truncate(entry.index);
                    self.selfMatch = self.selfMatch.min(entry.index - 1);
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
            self.appended.push_back((self.sequence, self.log.last()));
        }
    }

    pub(crate) fn on_append_response(&mut self, nowMs: u64, from: Member, got: AppendResponse) {
        if got.term > self.term {
            return self.follow(nowMs, got.term, None);
        }
        if self.role != Role::Leader || got.term < self.term {
            return;
        }
        let last = self.log.last();
        let Some(known) = self.progress.get_mut(&from.id) else { return };
        known.heardMs = nowMs;
        known.echoMs = known.echoMs.max(got.sentMs);
        match got.matched {
            Some(matched) => {
                known.matched = known.matched.max(matched);
                known.next = known.next.max(known.matched + 1);
                let more = known.next <= last;
                self.advance_commit();
                if more {
                    self.send_append(nowMs, from.id, false);
                }
            }
            None if got.hint == 0 => self.send_snapshot(nowMs, from.id),
            None => {
                known.next = got.hint.clamp(known.matched + 1, last + 1);
                self.send_append(nowMs, from.id, true);
            }
        }
    }

    pub(crate) fn advance_commit(&mut self) {
        let members = self.log.members();
        let mut matches: Vec<u64> = members
            .iter()
            .map(|member| match self.progress.get(&member.id) {
                _ if member.id == self.id => self.selfMatch,
                Some(known) => known.matched,
                None => 0,
            })
            .collect();
        matches.sort_unstable_by(|a, b| b.cmp(a));
        let agreed = matches.get(members.len() / 2).copied().unwrap_or(0);
        if agreed > self.commit && self.log.term_at(agreed) == Some(self.term) {
            self.commit_to(agreed);
        }
    }

    pub(crate) fn commit_to(&mut self, index: u64) {
        let index = index.min(self.log.last());
        if index <= self.commit {
            return;
        }
        let entries = self.log.range(self.commit + 1, index);
        self.commit = index;
        self.effects.push(Effect::Commit(entries));
    }
}
