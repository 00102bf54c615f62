//! How the leader writes to the log.

use crate::ControlNode;
use postbarrow_state::{Record, State};
use postbarrow_transactions::{BatchRecord, encode};

impl ControlNode {
    /// One atomic batch of records outside any transaction, or of the one that is open. Returns its
    /// log offset.
    pub(super) fn propose(&mut self, now_ms: u64, records: Vec<Record>) -> u64 {
        self.propose_batch(now_ms, records.into_iter().map(BatchRecord::Data).collect())
    }

    pub(super) fn propose_batch(&mut self, now_ms: u64, records: Vec<BatchRecord<Record>>) -> u64 {
        let offset = self.consensus.last_index() + 1;
        if let Some(leader) = &mut self.leader {
            leader.writer.apply(offset, &records);
        }
        let bytes = encode(&records);
        self.log(now_ms, postbarrow_consensus::Input::Propose(vec![bytes]));
        offset
    }

    /// The optimistic state of a leader that serves.
    pub(super) fn current(&self) -> Option<&State> {
        self.leader.as_ref()?.writer.current()
    }

    pub(super) fn has_open_transaction(&self) -> bool {
        self.leader.as_ref().is_some_and(|leader| leader.transaction.is_open())
    }
}
