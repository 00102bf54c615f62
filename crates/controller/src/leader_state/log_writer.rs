//! The leader's writer of the log, and the replies that wait until written entries are committed.

use super::reply::Reply;
use postbarrow_state::{Record, State};
use postbarrow_transactions::{BatchRecord, Writer};

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

    /// Begins a transaction and returns its Begin marker; `None` while another is open.
    pub fn begin(&mut self, now_ms: u64, name: &str) -> Option<BatchRecord<Record>> {
        self.writer.as_mut().and_then(|writer| writer.begin(now_ms, name).ok())
    }

    /// Adds the size of a batch to that of the open transaction. Returns whether the transaction is
    /// still within its size limit.
    pub fn add_transaction_bytes(&mut self, size_bytes: usize) -> bool {
        let writer = self.writer.as_mut().expect("an open transaction has a writer");
        writer.add_bytes(size_bytes).is_ok()
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
