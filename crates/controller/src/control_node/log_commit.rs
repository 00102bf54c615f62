//! Applies committed entries to the state.

use crate::ControlNode;
use postbarrow_consensus::{Entry, Payload};
use postbarrow_state::Record;
use postbarrow_transactions::{BatchOutcome, BatchRecord, decode};

impl ControlNode {
    pub(super) fn on_commit(&mut self, now_ms: u64, entries: Vec<Entry>) {
        for entry in entries {
            match &entry.payload {
                Payload::TermStart | Payload::Members(_) => self.tail.skip_to(entry.index),
                Payload::Batch(bytes) => self.on_batch(now_ms, entry.index, bytes),
            }
            self.compact(now_ms);
        }
        self.send_committed_replies(now_ms);
        self.respond_to_watches(now_ms);
        self.propose_plan_batches(now_ms);
    }

    fn on_batch(&mut self, now_ms: u64, offset: u64, bytes: &[u8]) {
        let records: Vec<BatchRecord<Record>> =
            decode(bytes).unwrap_or_else(|error| panic!("batch at log offset {offset}: {error}"));
        let outcome = match self.tail.apply(offset, &records) {
            Ok(outcome) => outcome,
            Err(error) => panic!("batch at log offset {offset} not applied: {error}"),
        };
        self.track_committed(now_ms, &records);
        self.updates.on_batch(offset, records, outcome == BatchOutcome::Pending);
    }

    /// Updates the retention queue and the lock deadlines of the leader by these committed records.
    fn track_committed(&mut self, now_ms: u64, records: &[BatchRecord<Record>]) {
        let era = self.committed().era;
        let Some(leader) = &mut self.leader else { return };
        for record in records {
            match record {
                BatchRecord::Data(Record::Settled { key, .. }) => {
                    leader.retention.on_settled(era, key);
                }
                BatchRecord::Data(Record::Lock { name, ttl_ms, .. }) => {
                    leader.locks.on_committed(name, now_ms + ttl_ms);
                }
                _ => {}
            }
        }
    }

    /// Returns whether the state includes every committed entry, from a snapshot or applied one by
    /// one.
    pub(super) fn has_applied_commit(&self) -> bool {
        self.tail.offset() >= self.consensus.commit_index()
    }
}
