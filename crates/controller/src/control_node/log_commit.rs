//! Applies committed entries to the state.

use crate::{ApplyFailure, ControlNode};
use postbarrow_consensus::{Entry, Payload};
use postbarrow_state::Record;
use postbarrow_transactions::{BatchOutcome, BatchRecord, TransactionError, decode};

impl ControlNode {
    pub(super) fn on_commit(&mut self, now_ms: u64, entries: Vec<Entry>) {
        for entry in entries {
            if self.apply_failure.is_some() {
                return;
            }
            if let Err(cause) = self.apply_entry(now_ms, &entry) {
                let offset = entry.index;
                return self.on_apply_failure(now_ms, ApplyFailure { offset, cause: cause.into() });
            }
            self.compact(now_ms);
        }
        self.send_committed_replies(now_ms);
        self.respond_to_watches(now_ms);
        self.propose_plan_batches(now_ms);
    }

    fn apply_entry(&mut self, now_ms: u64, entry: &Entry) -> Result<(), TransactionError> {
        match &entry.payload {
            Payload::TermStart | Payload::Members(_) => {
                self.tail.skip_to(entry.index);
                Ok(())
            }
            Payload::Batch(bytes) => self.apply_batch(now_ms, entry.index, bytes),
        }
    }

    fn apply_batch(
        &mut self,
        now_ms: u64,
        offset: u64,
        bytes: &[u8],
    ) -> Result<(), TransactionError> {
        let records: Vec<BatchRecord<Record>> = decode(bytes)?;
        let outcome = self.tail.apply(offset, &records)?;
        self.track_committed(now_ms, &records);
        self.updates.on_batch(offset, records, outcome == BatchOutcome::Pending);
        Ok(())
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
