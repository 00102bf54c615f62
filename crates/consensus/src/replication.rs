//! Replication of the leader's log to its followers (thesis, 3.5), batched and pipelined (10.2.2).

use crate::{
    AppendRequest, AppendResponse, Consensus, Entry, Member, MemberId, Message, Payload, Role,
    Write,
};
use postbarrow_constants::consensus::{APPEND_BYTES, ELECTION_MIN_MS, HEARTBEAT_MS};

impl Consensus {
    /// Appends batches of application bytes as entries, if this member leads.
    pub(crate) fn propose(&mut self, now_ms: u64, batches: Vec<Vec<u8>>) {
        if self.role == Role::Leader {
            self.append_to_own_log(now_ms, batches.into_iter().map(Payload::Batch).collect());
        }
    }

    /// Appends entries to the leader's own log, and replicates them while they are being written to
    /// disk.
    pub(crate) fn append_to_own_log(&mut self, now_ms: u64, payloads: Vec<Payload>) {
        let mut entries = Vec::with_capacity(payloads.len());
        for payload in payloads {
            let entry = Entry { term: self.term, index: self.log.last_index() + 1, payload };
            self.log.push(entry.clone());
            entries.push(entry);
        }
        self.write(Write::Append(entries));
        self.durability.on_append(self.log.last_index());
        self.replicate(now_ms);
        self.advance_commit();
    }

    /// Sends heartbeats when they are due. A leader steps down if its lease ended more than
    /// `ELECTION_MIN_MS` ago and no follower has responded for as long (thesis, 6.2).
    pub(crate) fn leader_tick(&mut self, now_ms: u64) {
        if self.has_lost_all_followers(now_ms) {
            return self.become_follower(now_ms, self.term, None);
        }
        if now_ms >= self.leader_state.heartbeat_due_ms {
            self.leader_state.heartbeat_due_ms = now_ms + HEARTBEAT_MS;
            for id in self.follower_ids() {
                self.send_append(now_ms, id, true);
            }
        }
    }

    fn has_lost_all_followers(&self, now_ms: u64) -> bool {
        let is_lease_long_over = self.lease_until_ms().saturating_add(ELECTION_MIN_MS) < now_ms;
        let followers = &self.leader_state.progress;
        let all_unresponsive =
            followers.values().all(|progress| progress.last_response_ms + ELECTION_MIN_MS < now_ms);
        is_lease_long_over && all_unresponsive && !followers.is_empty()
    }

    fn replicate(&mut self, now_ms: u64) {
        for id in self.follower_ids() {
            self.send_append(now_ms, id, false);
        }
    }

    fn follower_ids(&self) -> Vec<MemberId> {
        self.leader_state.progress.keys().copied().collect()
    }

    /// Sends the entries or snapshot chunks that the in-flight limit allows. With `is_heartbeat`, a
    /// frame without entries is sent if none with entries was.
    pub(crate) fn send_append(&mut self, now_ms: u64, id: MemberId, is_heartbeat: bool) {
        let Some(progress) = self.leader_state.progress.get(&id) else { return };
        let needs_snapshot =
            progress.snapshot_transfer.is_some() || progress.next_index <= self.log.base();
        if needs_snapshot {
            self.send_snapshot(now_ms, id);
        }
        let sent = !needs_snapshot && self.send_entries(now_ms, id);
        if is_heartbeat && !sent {
            self.send_frame(now_ms, id, Vec::new());
        }
    }

    /// Sends frames of entries until the in-flight limit or the end of the log is reached. Returns
    /// whether any was sent.
    fn send_entries(&mut self, now_ms: u64, id: MemberId) -> bool {
        let mut sent = false;
        while let Some(progress) = self.leader_state.progress.get(&id) {
            let entries = self.log.slice(progress.next_index, APPEND_BYTES);
            if entries.is_empty() || !progress.may_send(&entries) {
                break;
            }
            self.send_frame(now_ms, id, entries);
            sent = true;
        }
        sent
    }

    fn send_frame(&mut self, now_ms: u64, id: MemberId, entries: Vec<Entry>) {
        let Some(progress) = self.leader_state.progress.get_mut(&id) else { return };
        let (to, prev_index) = (progress.member, progress.next_index - 1);
        progress.on_sent(&entries);
        let append = AppendRequest {
            term: self.term,
            prev_index,
            prev_term: self.log.term_at(prev_index).unwrap_or(0),
            entries,
            commit_index: self.commit_index,
            sent_ms: now_ms,
        };
        self.send(to, Message::Append(append));
    }

    /// Handles a follower's confirmation or refusal of entries.
    pub(crate) fn on_append_response(
        &mut self,
        now_ms: u64,
        from: Member,
        response: AppendResponse,
    ) {
        if response.term > self.term {
            return self.become_follower(now_ms, response.term, None);
        }
        if self.role != Role::Leader || response.term < self.term {
            return;
        }
        let last_index = self.log.last_index();
        let Some(progress) = self.leader_state.progress.get_mut(&from.id) else { return };
        progress.on_response(now_ms, response.sent_ms);
        match response.match_index {
            Some(match_index) => {
                progress.on_confirmed(match_index, response.sent_ms);
                self.advance_commit();
                self.send_append(now_ms, from.id, false);
            }
            None if response.next_index_hint == 0 => self.send_snapshot(now_ms, from.id),
            None if progress.snapshot_transfer.is_some()
                || !progress.is_current_refusal(response.sent_ms) => {}
            None => {
                let next_index =
                    response.next_index_hint.clamp(progress.match_index + 1, last_index + 1);
                progress.restart_at(next_index, now_ms);
                self.send_append(now_ms, from.id, true);
            }
        }
    }
}
