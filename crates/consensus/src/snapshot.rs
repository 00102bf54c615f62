use crate::progress::Sending;
use crate::*;
use postbarrow_constants::consensus::*;

#[derive(Clone, Debug, Hash)]
pub(crate) struct Incoming {
    from: MemberId,
    index: u64,
    bytes: Vec<u8>,
}

impl Consensus {
    /// The owner of the state took it at `index`; both go to a slot, and old entries go.
    pub(crate) fn compact(&mut self, index: u64, state: Vec<u8>) {
        let Some(term) = self.log.term_at(index) else { return };
        if index > self.commit || index <= self.snapshot.as_ref().map_or(0, |kept| kept.index) {
            return;
        }
        let members = self.log.members_at(index);
        let snapshot = Arc::new(Snapshot { index, term, members, state });
        self.log.drop_front(index.saturating_sub(ENTRIES_KEPT));
        self.write_slot(snapshot);
    }

    pub(crate) fn write_slot(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = Some(snapshot.clone());
        let entries = self.log.range(snapshot.index + 1, self.log.last());
        let hard = Hard { term: self.term, voted: self.voted };
        self.write(Write::Slot { snapshot, hard, entries });
        self.appended.push_back((self.sequence, self.log.last()));
    }

    pub(crate) fn send_snapshot(&mut self, now_ms: u64, id: MemberId) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        let Some(known) = self.progress.get_mut(&id) else { return };
        let sending =
            known.sending.get_or_insert(Sending { index: snapshot.index, offset: 0, sent_ms: 0 });
        if sending.index != snapshot.index {
            *sending = Sending { index: snapshot.index, offset: 0, sent_ms: 0 };
        }
        if now_ms < sending.sent_ms + SNAPSHOT_RETRY_MS && sending.sent_ms > 0 {
            return;
        }
        sending.sent_ms = now_ms;
        let offset = sending.offset as usize;
        let to = known.member;
        let end = (offset + SNAPSHOT_CHUNK_BYTES).min(snapshot.state.len());
        let part = SnapshotPart {
            term: self.term,
            index: snapshot.index,
            index_term: snapshot.term,
            members: snapshot.members.clone(),
            offset: offset as u64,
            total: snapshot.state.len() as u64,
            bytes: snapshot.state[offset.min(end)..end].to_vec(),
            sent_ms: now_ms,
        };
        self.send(to, Message::Snapshot(part));
    }

    pub(crate) fn on_snapshot(&mut self, now_ms: u64, from: Member, part: SnapshotPart) {
        if part.term < self.term {
            return;
        }
        if part.term > self.term || self.role != Role::Follower || self.leader != Some(from.id) {
            self.follow(now_ms, part.term, Some(from.id));
        }
        self.heard_ms = now_ms;
        self.freed = false;
        self.set_election(now_ms);
        let mut got = SnapshotResponse {
            term: self.term,
            index: part.index,
            received: 0,
            done: part.index <= self.commit && !self.is_fresh(),
            sent_ms: part.sent_ms,
        };
        if got.done {
            return self.send_after_sync(from, Message::SnapshotResponse(got));
        }
        let mut incoming = match self.incoming.take() {
            Some(kept) if kept.from == from.id && kept.index == part.index => kept,
            _ => Incoming { from: from.id, index: part.index, bytes: Vec::new() },
        };
        if incoming.bytes.len() as u64 == part.offset {
            incoming.bytes.extend_from_slice(&part.bytes);
        }
        got.received = incoming.bytes.len() as u64;
        if got.received < part.total {
            self.incoming = Some(incoming);
            return self.send(from, Message::SnapshotResponse(got));
        }
        let snapshot = Arc::new(Snapshot {
            index: part.index,
            term: part.index_term,
            members: part.members,
            state: incoming.bytes,
        });
        self.install(snapshot);
        got.done = true;
        self.send_after_sync(from, Message::SnapshotResponse(got));
    }

    fn install(&mut self, snapshot: Arc<Snapshot>) {
        if !self.is_fresh() && self.log.term_at(snapshot.index) == Some(snapshot.term) {
            self.log.drop_front(snapshot.index);
        } else {
            self.log.reset(&snapshot);
            self.appended.clear();
            self.self_match = 0;
        }
        self.commit = snapshot.index;
        self.effects.push(Effect::Restore(snapshot.clone()));
        self.write_slot(snapshot);
    }

    pub(crate) fn on_snapshot_response(
        &mut self,
        now_ms: u64,
        from: Member,
        got: SnapshotResponse,
    ) {
        if got.term > self.term {
            return self.follow(now_ms, got.term, None);
        }
        if self.role != Role::Leader || got.term < self.term {
            return;
        }
        let Some(known) = self.progress.get_mut(&from.id) else { return };
        known.heard_ms = now_ms;
        known.echo_ms = known.echo_ms.max(got.sent_ms);
        if got.done {
            known.sending = None;
            known.matched = known.matched.max(got.index);
            known.next = known.matched + 1;
            return self.send_append(now_ms, from.id, true);
        }
        if let Some(sending) = known.sending.as_mut().filter(|going| going.index == got.index) {
            sending.offset = got.received;
            sending.sent_ms = 0;
            self.send_snapshot(now_ms, from.id);
        }
    }
}
