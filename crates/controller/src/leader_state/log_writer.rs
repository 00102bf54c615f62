//! The leader's writer of the log, and the replies that wait until written entries are committed.

use super::reply::Reply;
use postbarrow_state::{Record, State};
use postbarrow_transactions::{BatchRecord, TransactionError, Writer};

/// The writer of a leader, which it has once it serves, and its pending replies.
#[derive(Default)]
pub(crate) struct LogWriter {
    writer: Option<Writer<State>>,
    replies: Vec<Reply>,
}

impl LogWriter {
    pub fn start(&mut self, term: u64, state: State) {
        self.writer = Some(Writer::new(term, state));
    }

    pub fn is_started(&self) -> bool {
        self.writer.is_some()
    }

    /// Returns the committed state with all proposed records applied; `None` before serving starts.
    pub fn proposed_state(&self) -> Option<&State> {
        self.writer.as_ref().map(Writer::proposed_state)
    }

    /// Returns the state before the open transaction; `None` if none is open.
    pub fn state_before_transaction(&self) -> Option<&State> {
        self.writer.as_ref().and_then(Writer::state_before_transaction)
    }

    pub fn apply(&mut self, offset: u64, records: &[BatchRecord<Record>]) {
        let Some(writer) = &mut self.writer else { return };
        for record in records {
            if let BatchRecord::Data(record) = record {
                writer.apply(offset, record);
            }
        }
    }

    /// Begins a transaction of these batches and returns its Begin marker.
    ///
    /// # Errors
    ///
    /// As for [`Writer::begin`], and `NotOpen` before serving starts.
    pub fn begin(
        &mut self,
        now_ms: u64,
        name: &str,
        batches: &[Vec<BatchRecord<Record>>],
    ) -> Result<BatchRecord<Record>, TransactionError> {
        let writer = self.writer.as_mut().ok_or(TransactionError::NotOpen)?;
        writer.begin(now_ms, name, batches)
    }

    pub fn end(&mut self) -> Option<BatchRecord<Record>> {
        self.writer.as_mut().and_then(|writer| writer.end().ok())
    }

    pub fn abort(&mut self, reason: &str) -> Option<BatchRecord<Record>> {
        self.writer.as_mut().and_then(|writer| writer.abort(reason).ok())
    }

    pub fn is_transaction_overdue(&self, now_ms: u64) -> bool {
        self.writer.as_ref().is_some_and(|writer| writer.is_transaction_overdue(now_ms))
    }

    pub fn open_duration_ms(&self, now_ms: u64) -> Option<u64> {
        self.writer.as_ref().and_then(|writer| writer.open_duration_ms(now_ms))
    }

    pub fn add_reply(&mut self, reply: Reply) {
        self.replies.push(reply);
    }

    /// Removes and returns the replies whose log offset is committed, in the order of their
    /// addition.
    pub fn take_committed_replies(&mut self, commit_index: u64) -> Vec<Reply> {
        let (committed, pending) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition(|reply| reply.offset <= commit_index);
        self.replies = pending;
        committed
    }

    pub fn into_replies(self) -> Vec<Reply> {
        self.replies
    }
}
