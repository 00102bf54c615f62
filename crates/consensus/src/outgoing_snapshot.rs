//! The sender's side of a snapshot transfer: chunks in flight, and chunks that are sent again.

use crate::{FingerprintTime, Snapshot, SnapshotChunk, SnapshotResponse};
use postbarrow_constants::consensus::{
    FOLLOWER_IN_FLIGHT_BYTES, SNAPSHOT_CHUNK_BYTES, SNAPSHOT_RETRY_MAX_MS, SNAPSHOT_RETRY_MS,
};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// A snapshot transfer in progress. It continues with its own snapshot when a newer one exists.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingSnapshot {
    snapshot: Arc<Snapshot>,
    checksum: u32,
    /// Whether a chunk was sent; even an empty state has one chunk.
    is_started: bool,
    /// Number of bytes that the follower has received without a gap.
    confirmed_bytes: u64,
    /// Number of bytes sent, counted from the beginning of the state.
    sent_bytes: u64,
    /// When a chunk was last answered, or was sent again because no response arrived.
    last_attempt_ms: u64,
    retry_interval_ms: u64,
    /// When a chunk was last sent again; no other chunk is sent until that one is answered.
    resent_ms: Option<u64>,
    /// When `sent_bytes` was last set back. Responses to chunks sent earlier show nothing about
    /// chunks sent since.
    rewound_ms: u64,
}

impl OutgoingSnapshot {
    /// Returns a transfer that begins at the first byte.
    pub fn new(snapshot: Arc<Snapshot>, now_ms: u64) -> Self {
        OutgoingSnapshot {
            checksum: crc32fast::hash(&snapshot.state),
            snapshot,
            is_started: false,
            confirmed_bytes: 0,
            sent_bytes: 0,
            last_attempt_ms: now_ms,
            retry_interval_ms: SNAPSHOT_RETRY_MS,
            resent_ms: None,
            rewound_ms: 0,
        }
    }

    /// Returns the index of the last entry that the snapshot covers.
    pub fn index(&self) -> u64 {
        self.snapshot.index
    }

    /// Returns the size of the complete state in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.snapshot.state.len() as u64
    }

    /// Returns the chunks to send now: as many as the in-flight limit allows or, if no response
    /// arrived within the retry interval, the first unconfirmed chunk again.
    pub fn take_due_chunks(&mut self, now_ms: u64, term: u64) -> Vec<SnapshotChunk> {
        if self.is_started && now_ms >= self.last_attempt_ms + self.retry_interval_ms {
            self.last_attempt_ms = now_ms;
            self.retry_interval_ms = (self.retry_interval_ms * 2).min(SNAPSHOT_RETRY_MAX_MS);
            self.resent_ms = Some(now_ms);
            return vec![self.chunk(self.confirmed_bytes, now_ms, term)];
        }
        let mut chunks = Vec::new();
        while self.resent_ms.is_none() && (!self.is_started || self.has_capacity()) {
            self.is_started = true;
            let chunk = self.chunk(self.sent_bytes, now_ms, term);
            self.sent_bytes += chunk.bytes.len() as u64;
            chunks.push(chunk);
        }
        chunks
    }

    /// Hashes the state that later behaviour depends on.
    pub fn fingerprint(&self, time: FingerprintTime, hasher: &mut impl Hasher) {
        let interval_ms = self.retry_interval_ms;
        (self.snapshot.index, self.is_started, self.confirmed_bytes, self.sent_bytes, interval_ms)
            .hash(hasher);
        (time.age(self.last_attempt_ms), time.age(self.rewound_ms)).hash(hasher);
        self.resent_ms.map(|resent_ms| time.age(resent_ms)).hash(hasher);
    }

    fn has_capacity(&self) -> bool {
        let in_flight_bytes = self.sent_bytes - self.confirmed_bytes;
        self.sent_bytes < self.total_bytes()
            && in_flight_bytes + SNAPSHOT_CHUNK_BYTES <= FOLLOWER_IN_FLIGHT_BYTES
    }

    fn chunk(&self, offset: u64, now_ms: u64, term: u64) -> SnapshotChunk {
        let end = (offset + SNAPSHOT_CHUNK_BYTES).min(self.total_bytes());
        SnapshotChunk {
            term,
            index: self.snapshot.index,
            snapshot_term: self.snapshot.term,
            members: self.snapshot.members.clone(),
            offset,
            total_bytes: self.total_bytes(),
            bytes: self.snapshot.state[offset as usize..end as usize].to_vec(),
            sent_ms: now_ms,
            checksum: self.checksum,
        }
    }

    /// Handles the response to a chunk: continues after a chunk that was received in order, or goes
    /// back to the first byte that the follower lacks. A response to a chunk that was sent again
    /// covers all chunks before it, since a link keeps the order of messages.
    pub fn on_response(&mut self, now_ms: u64, response: &SnapshotResponse) {
        self.last_attempt_ms = now_ms;
        self.retry_interval_ms = SNAPSHOT_RETRY_MS;
        let received = response.received_bytes.min(self.total_bytes());
        let answers_resent = self.resent_ms.is_some_and(|resent_ms| response.sent_ms >= resent_ms);
        let reports_gap =
            response.offset > response.received_bytes && response.sent_ms >= self.rewound_ms;
        if answers_resent || reports_gap {
            self.confirmed_bytes = received;
            self.sent_bytes = received;
            self.resent_ms = None;
            self.rewound_ms = now_ms;
        } else if response.offset <= response.received_bytes {
            self.confirmed_bytes = self.confirmed_bytes.max(received);
            self.sent_bytes = self.sent_bytes.max(self.confirmed_bytes);
        }
    }
}
