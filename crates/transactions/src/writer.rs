//! The single writer's side of a transaction.

use crate::{BatchRecord, Image, TransactionError, truncate_marker_text};
use postbarrow_constants::plans::{DELTA_BYTES, TRANSACTION_OPEN_MS};

/// The writer's transaction in progress.
struct OpenTransaction<I> {
    since_ms: u64,
    size_bytes: usize,
    rollback: I,
}

/// The single writer: its state with records that are not committed yet, and the image at Begin to
/// return to.
pub struct Writer<I> {
    term: u64,
    current: I,
    open: Option<OpenTransaction<I>>,
}

impl<I: Image> Writer<I> {
    /// The writer of a leader's term, which starts from the committed state.
    pub fn new(term: u64, committed: I) -> Self {
        Writer { term, current: committed, open: None }
    }

    /// Starts a transaction; returns its marker for the log.
    ///
    /// # Errors
    ///
    /// `AlreadyOpen`.
    pub fn begin(
        &mut self,
        now_ms: u64,
        name: &str,
    ) -> Result<BatchRecord<I::Record>, TransactionError> {
        if self.open.is_some() {
            return Err(TransactionError::AlreadyOpen);
        }
        let rollback = self.current.clone();
        self.open = Some(OpenTransaction { since_ms: now_ms, size_bytes: 0, rollback });
        Ok(BatchRecord::begin(&truncate_marker_text(name)))
    }

    /// Counts a batch of the open transaction against the delta's bound.
    ///
    /// # Errors
    ///
    /// `NotOpen`, or `OverDelta`, after which the transaction must be aborted.
    pub fn grow(&mut self, size_bytes: usize) -> Result<(), TransactionError> {
        let open = self.open.as_mut().ok_or(TransactionError::NotOpen)?;
        open.size_bytes += size_bytes;
        if open.size_bytes > DELTA_BYTES { Err(TransactionError::OverDelta) } else { Ok(()) }
    }

    /// Applies a record that is proposed at this offset.
    pub fn apply(&mut self, offset: u64, record: &I::Record) {
        self.current.apply(offset, record);
    }

    /// Commits the open transaction; returns its marker for the log.
    ///
    /// # Errors
    ///
    /// `NotOpen`.
    pub fn end(&mut self) -> Result<BatchRecord<I::Record>, TransactionError> {
        self.open.take().map(|_| BatchRecord::End).ok_or(TransactionError::NotOpen)
    }

    /// Returns to the state at Begin; returns the marker for the log.
    ///
    /// # Errors
    ///
    /// `NotOpen`.
    pub fn abort(&mut self, reason: &str) -> Result<BatchRecord<I::Record>, TransactionError> {
        let open = self.open.take().ok_or(TransactionError::NotOpen)?;
        self.current = open.rollback;
        Ok(BatchRecord::abort(reason))
    }

    /// Whether the open transaction has lasted for longer than it may.
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        self.open.as_ref().is_some_and(|open| now_ms >= open.since_ms + TRANSACTION_OPEN_MS)
    }

    /// How long the open transaction has lasted.
    pub fn open_duration_ms(&self, now_ms: u64) -> Option<u64> {
        self.open.as_ref().map(|open| now_ms.saturating_sub(open.since_ms))
    }

    /// The state with every record proposed so far.
    pub fn current(&self) -> &I {
        &self.current
    }

    /// The state that an abort returns to.
    pub fn rollback(&self) -> Option<&I> {
        self.open.as_ref().map(|open| &open.rollback)
    }

    /// Whether a transaction is in progress.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// The leader's term that this writer belongs to.
    pub fn term(&self) -> u64 {
        self.term
    }
}
