//! Snapshots: taken, sent to followers whose entries are gone, and installed.

use crate::snapshot_transfer::{IncomingSnapshot, OutgoingSnapshot};
use crate::*;
use postbarrow_constants::consensus::*;

impl Consensus {
    /// The owner of the state took it at `index`; both go to a slot, and old entries go.
    pub(crate) fn compact(&mut self, now_ms: u64, index: u64, state: Vec<u8>) {
        let Some(term) = self.log.term_at(index) else { return };
        if index > self.commit_index || index <= self.snapshot_index() {
            return;
        }
        let members = self.log.members_at(index);
        let snapshot = Arc::new(Snapshot { index, term, members, state });
        self.drop_entries(now_ms, index);
        self.write_slot(snapshot);
    }

    /// A live follower that is behind keeps its entries, or it would need snapshot after snapshot;
    /// up to as many bytes as its snapshot has, for the link carries those in the same time.
    fn drop_entries(&mut self, now_ms: u64, index: u64) {
        let mut base = self.log.base_keeping(index, ENTRIES_RETAINED, ENTRIES_RETAINED_BYTES);
        for known in self.progress.values().filter(|known| known.is_live(now_ms)) {
            let sending = known.sending.as_ref();
            let next = sending.map_or(known.matched, |sending| sending.index().max(known.matched));
            let most_bytes =
                sending.map_or(0, OutgoingSnapshot::total).max(ENTRIES_RETAINED_MAX_BYTES);
            base = base.min(next.max(self.log.base_keeping(index, u64::MAX, most_bytes)));
        }
        self.log.compact_to(base);
    }

    pub(crate) fn write_slot(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = Some(snapshot.clone());
        let entries = self.log.range(snapshot.index + 1, self.log.last_index());
        let hard = HardState { term: self.term, voted_for: self.voted_for };
        self.write(Write::Slot { snapshot, hard, entries });
        self.appended.push_back((self.sequence, self.log.last_index()));
    }

    /// A transfer goes on to its end over newer snapshots, unless its follower fell silent.
    pub(crate) fn send_snapshot(&mut self, now_ms: u64, id: MemberId) {
        let Some(newest) = self.snapshot.clone() else { return };
        let term = self.term;
        let Some(known) = self.progress.get_mut(&id) else { return };
        let (to, live) = (known.member, known.is_live(now_ms));
        known.sending.take_if(|sending| !live && sending.index() < newest.index);
        let sending = known.sending.get_or_insert_with(|| OutgoingSnapshot::new(newest, now_ms));
        for part in sending.due(now_ms, term) {
            self.send(to, Message::Snapshot(part));
        }
    }

    pub(crate) fn on_snapshot(&mut self, now_ms: u64, from: Member, part: SnapshotChunk) {
        let mut got = SnapshotResponse {
            term: self.term,
            index: part.index,
            received: 0,
            done: false,
            sent_ms: part.sent_ms,
            offset: part.offset,
        };
        if part.term < self.term {
            return self.send(from, Message::SnapshotResponse(got));
        }
        self.hear_leader(now_ms, from, part.term, part.sent_ms);
        got.term = self.term;
        got.done = part.index <= self.commit_index && !self.is_uninitialized();
        if got.done {
            return self.send_after_sync(from, Message::SnapshotResponse(got));
        }
        let mut incoming = IncomingSnapshot::resume(self.incoming.take(), from.id, &part);
        incoming.add(&part);
        got.received = incoming.received();
        if !incoming.is_complete() {
            self.incoming = Some(incoming);
            return self.send(from, Message::SnapshotResponse(got));
        }
        let Some(state) = incoming.into_state() else {
            got.received = 0;
            return self.send(from, Message::SnapshotResponse(got));
        };
        let SnapshotChunk { index, snapshot_term: index_term, members, .. } = part;
        self.install(Arc::new(Snapshot { index, term: index_term, members, state }));
        got.done = true;
        self.send_after_sync(from, Message::SnapshotResponse(got));
    }

    fn install(&mut self, snapshot: Arc<Snapshot>) {
        if !self.is_uninitialized() && self.log.term_at(snapshot.index) == Some(snapshot.term) {
            self.log.compact_to(snapshot.index);
        } else {
            self.log.reset(&snapshot);
            self.appended.clear();
            self.self_match = 0;
        }
        self.commit_index = snapshot.index;
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
        known.last_response_ms = now_ms;
        known.acknowledged_send_ms = known.acknowledged_send_ms.max(got.sent_ms);
        if got.done {
            known.confirmed(got.index, got.sent_ms);
            if known.sending.take_if(|sending| sending.index() <= got.index).is_some() {
                known.restart_at(known.matched + 1, now_ms);
            }
            return self.send_append(now_ms, from.id, true);
        }
        if let Some(sending) = known.sending.as_mut().filter(|going| going.index() == got.index) {
            sending.on_response(now_ms, &got);
            self.send_snapshot(now_ms, from.id);
        }
    }
}
