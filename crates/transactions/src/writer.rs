use crate::{BatchRecord, Image, truncate_marker_text};
use postbarrow_constants::plans::{DELTA_BYTES, TRANSACTION_OPEN_MS};

#[derive(Clone, Debug, PartialEq)]
pub enum TransactionError {
    AlreadyOpen,
    NoneOpen,
    OverDelta,
}

struct Open<I> {
    since_ms: u64,
    size_bytes: usize,
    rollback: I,
}

/// The single writer's side: optimistic state, and the clone kept at Begin to go back to.
pub struct Writer<I> {
    term: u64,
    current: I,
    open: Option<Open<I>>,
}

impl<I: Image> Writer<I> {
    pub fn new(term: u64, committed: I) -> Self {
        Writer { term, current: committed, open: None }
    }

    pub fn begin(
        &mut self,
        now_ms: u64,
        name: &str,
    ) -> Result<BatchRecord<I::Record>, TransactionError> {
        if self.open.is_some() {
            return Err(TransactionError::AlreadyOpen);
        }
        self.open = Some(Open { since_ms: now_ms, size_bytes: 0, rollback: self.current.clone() });
        Ok(BatchRecord::begin(&truncate_marker_text(name)))
    }

    /// Counts a batch of the open transaction against the delta's bound.
    pub fn grow(&mut self, size_bytes: usize) -> Result<(), TransactionError> {
        let open = self.open.as_mut().ok_or(TransactionError::NoneOpen)?;
        open.size_bytes += size_bytes;
        if open.size_bytes > DELTA_BYTES { Err(TransactionError::OverDelta) } else { Ok(()) }
    }

    pub fn apply(&mut self, offset: u64, record: &I::Record) {
        self.current.apply(offset, record);
    }

    pub fn end(&mut self) -> Result<BatchRecord<I::Record>, TransactionError> {
        self.open.take().map(|_| BatchRecord::End).ok_or(TransactionError::NoneOpen)
    }

    pub fn abort(&mut self, reason: &str) -> Result<BatchRecord<I::Record>, TransactionError> {
        let open = self.open.take().ok_or(TransactionError::NoneOpen)?;
        self.current = open.rollback;
        Ok(BatchRecord::abort(reason))
    }

    pub fn is_overdue(&self, now_ms: u64) -> bool {
        self.open.as_ref().is_some_and(|open| now_ms >= open.since_ms + TRANSACTION_OPEN_MS)
    }

    pub fn open_duration_ms(&self, now_ms: u64) -> Option<u64> {
        self.open.as_ref().map(|open| now_ms.saturating_sub(open.since_ms))
    }
    pub fn current(&self) -> &I {
        &self.current
    }
    pub fn rollback(&self) -> Option<&I> {
        self.open.as_ref().map(|open| &open.rollback)
    }
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }
    pub fn term(&self) -> u64 {
        self.term
    }
}
