//! The writer's part of a transaction; a log has a single writer, the leader.

use crate::{BatchRecord, Image, TransactionError, delta_bytes, truncate_marker_text};
use postbarrow_constants::plans::{DELTA_BYTES, TRANSACTION_OPEN_MS};
use serde::Serialize;

/// The writer's transaction in progress: its start, and the state to return to.
struct OpenTransaction<I> {
    since_ms: u64,
    state_before: I,
}

/// The log's single writer. It has the state with all records proposed so far, committed or not,
/// and during a transaction also the state at Begin, to which an abort returns.
pub struct Writer<I> {
    term: u64,
    proposed_state: I,
    open: Option<OpenTransaction<I>>,
}

impl<I: Image> Writer<I> {
    /// Creates the writer of a leader's term, which starts from the committed state.
    pub fn new(term: u64, committed: I) -> Self {
        Writer { term, proposed_state: committed, open: None }
    }

    /// Starts a transaction that consists of a batch with its Begin marker, of `batches`, and of a
    /// batch with its End or Abort marker. Returns the Begin marker for the log.
    ///
    /// # Errors
    ///
    /// `AlreadyOpen` if a transaction is in progress; `DeltaTooLarge` if the pending delta of this
    /// one would exceed `DELTA_BYTES`. No transaction is started then, and nothing may be written.
    pub fn begin(
        &mut self,
        now_ms: u64,
        name: &str,
        batches: &[Vec<BatchRecord<I::Record>>],
    ) -> Result<BatchRecord<I::Record>, TransactionError>
    where
        I::Record: Serialize,
    {
        if self.open.is_some() {
            return Err(TransactionError::AlreadyOpen);
        }
        let begin = BatchRecord::begin(&truncate_marker_text(name));
        let size_bytes = delta_bytes(std::slice::from_ref(&begin), batches);
        if size_bytes > DELTA_BYTES {
            return Err(TransactionError::DeltaTooLarge { size_bytes });
        }
        let state_before = self.proposed_state.clone();
        self.open = Some(OpenTransaction { since_ms: now_ms, state_before });
        Ok(begin)
    }

    /// Applies a record that is proposed at this log offset.
    pub fn apply(&mut self, offset: u64, record: &I::Record) {
        self.proposed_state.apply(offset, record);
    }

    /// Commits the open transaction and returns its End marker for the log.
    ///
    /// # Errors
    ///
    /// `NotOpen` if no transaction is open.
    pub fn end(&mut self) -> Result<BatchRecord<I::Record>, TransactionError> {
        self.open.take().map(|_| BatchRecord::End).ok_or(TransactionError::NotOpen)
    }

    /// Restores the state at Begin and returns the Abort marker for the log.
    ///
    /// # Errors
    ///
    /// `NotOpen` if no transaction is open.
    pub fn abort(&mut self, reason: &str) -> Result<BatchRecord<I::Record>, TransactionError> {
        let open = self.open.take().ok_or(TransactionError::NotOpen)?;
        self.proposed_state = open.state_before;
        Ok(BatchRecord::abort(reason))
    }

    /// Returns whether a transaction has been open for `TRANSACTION_OPEN_MS` or longer.
    pub fn is_transaction_overdue(&self, now_ms: u64) -> bool {
        self.open.as_ref().is_some_and(|open| now_ms >= open.since_ms + TRANSACTION_OPEN_MS)
    }

    /// Returns how long the transaction has been open, in milliseconds; `None` if none is open.
    pub fn open_duration_ms(&self, now_ms: u64) -> Option<u64> {
        self.open.as_ref().map(|open| now_ms.saturating_sub(open.since_ms))
    }

    /// Returns the state with every record proposed so far.
    pub fn proposed_state(&self) -> &I {
        &self.proposed_state
    }

    /// Returns the state to which an abort returns; `None` if no transaction is open.
    pub fn state_before_transaction(&self) -> Option<&I> {
        self.open.as_ref().map(|open| &open.state_before)
    }

    /// Returns whether a transaction is in progress.
    pub fn has_open_transaction(&self) -> bool {
        self.open.is_some()
    }

    /// Returns the leader's term that this writer belongs to.
    pub fn term(&self) -> u64 {
        self.term
    }
}
