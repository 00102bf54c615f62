//! Proposes entries to the log, and applies them to the leader's proposed state.

use crate::ControlNode;
use postbarrow_state::{Record, State};
use postbarrow_transactions::{BatchRecord, encode, split};

impl ControlNode {
    /// Proposes the records as one atomic batch, which belongs to the open transaction if there is
    /// one. Returns the batch's log offset.
    pub(super) fn propose(&mut self, now_ms: u64, records: Vec<Record>) -> u64 {
        self.propose_batch(now_ms, records.into_iter().map(BatchRecord::Data).collect())
    }

    /// Proposes records that need not be applied together, in batches of bounded size: a batch
    /// that exceeds a frame would never reach the other members.
    pub(super) fn propose_in_batches(&mut self, now_ms: u64, records: Vec<Record>) {
        for batch in split(records) {
            self.propose(now_ms, batch);
        }
    }

    pub(super) fn propose_batch(&mut self, now_ms: u64, records: Vec<BatchRecord<Record>>) -> u64 {
        let offset = self.consensus.last_index() + 1;
        if let Some(leader) = &mut self.leader {
            leader.writer.apply(offset, &records);
        }
        let bytes = encode(&records);
        self.step(now_ms, postbarrow_consensus::Input::Propose(vec![bytes]));
        offset
    }

    /// Returns the committed state with all proposed records applied; `None` unless this node leads
    /// and serves.
    pub(super) fn proposed_state(&self) -> Option<&State> {
        self.leader.as_ref()?.writer.proposed_state()
    }

    pub(super) fn has_open_transaction(&self) -> bool {
        self.leader.as_ref().is_some_and(|leader| leader.transaction.is_open())
    }
}
