//! Both ends of one snapshot's transfer in chunks.

use crate::{FingerprintTime, MemberId, Snapshot, SnapshotChunk, SnapshotResponse};
use postbarrow_constants::consensus::*;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// A transfer that has begun: it goes on with its own snapshot over newer ones.
#[derive(Clone, Debug)]
pub struct OutgoingSnapshot {
    snapshot: Arc<Snapshot>,
    checksum: u32,
    begun: bool,
    confirmed: u64,
    sent: u64,
    /// When a chunk was last answered, or sent again for want of an answer.
    tried_ms: u64,
    retry_ms: u64,
    /// When the chunk went that was sent again; nothing else goes before its answer.
    probe_ms: Option<u64>,
    /// Answers to older frames tell nothing of what was sent since.
    rewound_ms: u64,
}

impl OutgoingSnapshot {
    /// Begins at the first byte.
    pub fn new(snapshot: Arc<Snapshot>, now_ms: u64) -> Self {
        OutgoingSnapshot {
            checksum: crc32fast::hash(&snapshot.state),
            snapshot,
            begun: false,
            confirmed: 0,
            sent: 0,
            tried_ms: now_ms,
            retry_ms: SNAPSHOT_RETRY_MS,
            probe_ms: None,
            rewound_ms: 0,
        }
    }

    /// The log index that the snapshot stands for.
    pub fn index(&self) -> u64 {
        self.snapshot.index
    }

    /// Bytes of the whole state.
    pub fn total(&self) -> u64 {
        self.snapshot.state.len() as u64
    }

    /// Chunks that may go now: as many as the bound allows, or one again that was not answered.
    pub fn due(&mut self, now_ms: u64, term: u64) -> Vec<SnapshotChunk> {
        if self.begun && now_ms >= self.tried_ms + self.retry_ms {
            self.tried_ms = now_ms;
            self.retry_ms = (self.retry_ms * 2).min(SNAPSHOT_RETRY_MAX_MS);
            self.probe_ms = Some(now_ms);
            return vec![self.part(self.confirmed, now_ms, term)];
        }
        let mut parts = Vec::new();
        while self.probe_ms.is_none() && (!self.begun || self.has_room()) {
            self.begun = true;
            let part = self.part(self.sent, now_ms, term);
            self.sent += part.bytes.len() as u64;
            parts.push(part);
        }
        parts
    }

    /// What its later behaviour rests on, for searches over many states.
    pub(crate) fn fingerprint(&self, moment: FingerprintTime, into: &mut impl Hasher) {
        (self.snapshot.index, self.begun, self.confirmed, self.sent, self.retry_ms).hash(into);
        (moment.age(self.tried_ms), moment.age(self.rewound_ms)).hash(into);
        self.probe_ms.map(|probe_ms| moment.age(probe_ms)).hash(into);
    }

    fn has_room(&self) -> bool {
        let in_flight_bytes = self.sent - self.confirmed;
        self.sent < self.total()
            && in_flight_bytes + SNAPSHOT_CHUNK_BYTES <= FOLLOWER_IN_FLIGHT_BYTES
    }

    fn part(&self, offset: u64, now_ms: u64, term: u64) -> SnapshotChunk {
        let end = (offset + SNAPSHOT_CHUNK_BYTES).min(self.total());
        SnapshotChunk {
            term,
            index: self.snapshot.index,
            snapshot_term: self.snapshot.term,
            members: self.snapshot.members.clone(),
            offset,
            total: self.total(),
            bytes: self.snapshot.state[offset as usize..end as usize].to_vec(),
            sent_ms: now_ms,
            checksum: self.checksum,
        }
    }

    /// Goes on after a chunk that joined, or back to where the follower misses one. An answer to a
    /// chunk sent again tells of all before it, for a link keeps its order.
    pub fn on_response(&mut self, now_ms: u64, got: &SnapshotResponse) {
        self.tried_ms = now_ms;
        self.retry_ms = SNAPSHOT_RETRY_MS;
        let received = got.received.min(self.total());
        let probed = self.probe_ms.is_some_and(|probe_ms| got.sent_ms >= probe_ms);
        let missed = got.offset > got.received && got.sent_ms >= self.rewound_ms;
        if probed || missed {
            self.confirmed = received;
            self.sent = received;
            self.probe_ms = None;
            self.rewound_ms = now_ms;
        } else if got.offset <= got.received {
            self.confirmed = self.confirmed.max(received);
            self.sent = self.sent.max(self.confirmed);
        }
    }
}

/// What must agree in all chunks of one snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Source {
    from: MemberId,
    term: u64,
    index: u64,
    index_term: u64,
    total: u64,
    checksum: u32,
}

/// The received front of one snapshot.
#[derive(Clone, Debug, Hash)]
pub struct IncomingSnapshot {
    source: Source,
    state: Vec<u8>,
}

impl IncomingSnapshot {
    /// Goes on with what is kept if the chunk is of the same snapshot, or begins anew.
    pub fn resume(
        kept: Option<IncomingSnapshot>,
        from: MemberId,
        part: &SnapshotChunk,
    ) -> IncomingSnapshot {
        let source = Source {
            from,
            term: part.term,
            index: part.index,
            index_term: part.snapshot_term,
            total: part.total,
            checksum: part.checksum,
        };
        let same = kept.filter(|incoming| incoming.source == source);
        same.unwrap_or(IncomingSnapshot { source, state: Vec::new() })
    }

    /// Joins the chunk if it is the next one.
    pub fn add(&mut self, part: &SnapshotChunk) {
        let room_bytes = self.source.total - self.received();
        if part.offset == self.received() && part.bytes.len() as u64 <= room_bytes {
            self.state.extend_from_slice(&part.bytes);
        }
    }

    /// Bytes joined so far.
    pub fn received(&self) -> u64 {
        self.state.len() as u64
    }

    /// Whether nothing is missing.
    pub fn is_complete(&self) -> bool {
        self.received() == self.source.total
    }

    /// The whole state, if it is the one that the sender has.
    pub fn into_state(self) -> Option<Vec<u8>> {
        let sound = self.is_complete() && crc32fast::hash(&self.state) == self.source.checksum;
        sound.then_some(self.state)
    }
}
