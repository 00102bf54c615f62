//! What committed entries and snapshots do to the state, and when a snapshot is taken.

use crate::{ControlNode, Effect};
use postbarrow_consensus::{Entry, Payload, Snapshot};
use postbarrow_constants::consensus::SNAPSHOT_ENCODE_MAX_MS;
use postbarrow_membership::UpdateEntry;
use postbarrow_state::{Record, State};
use postbarrow_transactions::{BatchOutcome, BatchRecord, Tail, decode, encode};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

#[derive(Debug, Serialize, Deserialize)]
struct SnapshotContent {
    state: Arc<State>,
    update_offset: u64,
}

impl ControlNode {
    pub(crate) fn on_commit(&mut self, now_ms: u64, entries: Vec<Entry>) {
        for entry in entries {
            match &entry.payload {
                Payload::TermStart | Payload::Members(_) => self.tail.skip_to(entry.index),
                Payload::Batch(bytes) => self.on_batch(now_ms, entry.index, bytes),
            }
            self.compact(now_ms);
        }
        self.send_committed_replies(now_ms);
        self.answer_watches(now_ms);
        self.continue_plan(now_ms);
    }

    fn on_batch(&mut self, now_ms: u64, offset: u64, bytes: &[u8]) {
        let records: Vec<BatchRecord<Record>> =
            decode(bytes).unwrap_or_else(|error| panic!("log offset {offset}: {error}"));
        let outcome = match self.tail.apply(offset, bytes.len(), &records) {
            Ok(outcome) => outcome,
            Err(error) => panic!("log offset {offset}: {error}"),
        };
        if self.leader.is_some() {
            self.track_committed(now_ms, &records);
        }
        let updates: Vec<BatchRecord<Record>> = records.into_iter().filter(is_update).collect();
        if !updates.is_empty() {
            let entry = UpdateEntry { prev: self.update_offset, offset, bytes: encode(&updates) };
            self.relay.push(entry);
            self.update_offset = offset;
            if outcome != BatchOutcome::Pending {
                self.image_offset = offset;
            }
        }
    }

    pub(crate) fn restore(&mut self, snapshot: &Snapshot) {
        let content = if snapshot.state.is_empty() {
            SnapshotContent { state: Arc::default(), update_offset: 0 }
        } else {
            rmp_serde::from_slice(&snapshot.state)
                .unwrap_or_else(|error| panic!("snapshot {}: {error}", snapshot.index))
        };
        self.tail = Tail::new(snapshot.index, content.state.as_ref().clone());
        self.update_offset = content.update_offset;
        self.image_offset = content.update_offset;
        self.relay.clear();
        self.count_log();
    }

    /// Whether the state holds every committed entry, be they from a snapshot or applied one by one.
    pub(crate) fn has_applied_commit(&self) -> bool {
        self.tail.offset() >= self.consensus.commit_index()
    }

    /// Between transactions only: a snapshot carries no markers. So it is due after each entry, not
    /// at ticks: while plan follows plan, a transaction is open at nearly every tick. It is
    /// encoded elsewhere, since that takes longer than a lease can spare; each member's own bound
    /// keeps them from all writing their slots at once. One that has just started has applied
    /// nothing beyond its snapshot: what it read of the log counts on until it has.
    pub(crate) fn compact(&mut self, now_ms: u64) {
        let encoding = self.encoding_ms.is_some_and(|ms| now_ms < ms + SNAPSHOT_ENCODE_MAX_MS);
        if encoding || self.log_bytes < self.log_bound_bytes || self.tail.is_open() {
            return;
        }
        let index = self.tail.offset().min(self.consensus.commit_index());
        if index <= self.consensus.snapshot_index() {
            return;
        }
        self.encoding_ms = Some(now_ms);
        let content =
            SnapshotContent { state: self.tail.image().clone(), update_offset: self.update_offset };
        self.effects.push(Effect::Encode(PendingSnapshot { index, content }));
    }

    pub(crate) fn on_encoded(&mut self, now_ms: u64, index: u64, state: Vec<u8>) {
        self.log_line(format!("snapshot at {index}, {} bytes", state.len()));
        self.encoding_ms = None;
        self.log(now_ms, postbarrow_consensus::Input::Compact { index, state });
        self.count_log();
    }

    /// The next start reads all entries after the snapshot, also those that came while it was
    /// encoded.
    fn count_log(&mut self) {
        self.log_bytes = self.consensus.log().bytes_after(self.consensus.snapshot_index());
    }
}

/// A committed state on its way to a slot.
#[derive(Debug)]
pub struct PendingSnapshot {
    pub index: u64,
    content: SnapshotContent,
}

impl PendingSnapshot {
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(&self.content).expect("a state encodes into memory")
    }
}

fn is_update(record: &BatchRecord<Record>) -> bool {
    match record {
        BatchRecord::Data(record) => record.is_routing_update(),
        BatchRecord::Begin { .. } | BatchRecord::End | BatchRecord::Abort { .. } => true,
    }
}
