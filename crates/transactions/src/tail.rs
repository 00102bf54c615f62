//! A reader of the log.

use crate::{BatchRecord, Image, TransactionError};
use std::sync::Arc;

/// The effect of a batch on the published image.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchOutcome {
    /// A new image is published.
    Published,
    /// The published image is unchanged; a transaction is in progress.
    Pending,
    /// The published image is unchanged; a transaction was discarded.
    Aborted {
        /// The reason in the Abort marker, if there is one.
        reason: Option<String>,
    },
}

/// The state within a transaction in progress.
#[derive(Clone)]
struct PendingDelta<I> {
    image: I,
    name: Option<String>,
}

/// A reader of the log: applies a transaction's records to a pending delta, and publishes an image
/// with them at End only.
#[derive(Clone)]
pub struct Tail<I> {
    image: Arc<I>,
    offset: u64,
    pending: Option<PendingDelta<I>>,
}

/// The tail's state after a batch, built separately so that a malformed batch leaves the tail
/// unchanged.
struct NextState<I> {
    image: Option<I>,
    pending: Option<PendingDelta<I>>,
    outcome: BatchOutcome,
}

impl<I: Image> Tail<I> {
    /// Creates a reader that continues after `offset`, starting from the image published there.
    pub fn new(offset: u64, image: I) -> Self {
        Tail { image: Arc::new(image), offset, pending: None }
    }

    /// Applies one atomic batch. Its size is not bounded here: the writer bounds a transaction
    /// before it begins, and what is committed must be applied.
    ///
    /// # Errors
    ///
    /// Misplaced markers, or an offset that is not after the last one. The tail is then unchanged,
    /// and its owner must fetch an image.
    pub fn apply(
        &mut self,
        offset: u64,
        records: &[BatchRecord<I::Record>],
    ) -> Result<BatchOutcome, TransactionError> {
        if offset <= self.offset {
            return Err(TransactionError::OffsetNotAfter { offset, last: self.offset });
        }
        let next = self.next_state(offset, records)?;
        if let Some(image) = next.image {
            self.image = Arc::new(image);
        }
        self.pending = next.pending;
        self.offset = offset;
        Ok(next.outcome)
    }

    fn next_state(
        &self,
        offset: u64,
        records: &[BatchRecord<I::Record>],
    ) -> Result<NextState<I>, TransactionError> {
        let mut pending = self.pending.clone();
        let mut image = None;
        let mut outcome = BatchOutcome::Pending;
        for (position, record) in records.iter().enumerate() {
            let base = || image.clone().unwrap_or_else(|| self.image.as_ref().clone());
            match (record, pending.take()) {
                (BatchRecord::Begin { name }, None) => {
                    let name = name.clone();
                    pending = Some(PendingDelta { image: base(), name });
                }
                (BatchRecord::Data(record), Some(mut delta)) => {
                    delta.image.apply(offset, record);
                    pending = Some(delta);
                }
                (BatchRecord::Data(record), None) => {
                    let mut next = base();
                    next.apply(offset, record);
                    image = Some(next);
                    outcome = BatchOutcome::Published;
                }
                (BatchRecord::End, Some(delta)) => {
                    image = Some(delta.image);
                    outcome = BatchOutcome::Published;
                }
                (BatchRecord::Abort { reason }, Some(_)) => {
                    outcome = BatchOutcome::Aborted { reason: reason.clone() }
                }
                (BatchRecord::Begin { .. }, Some(delta)) => {
                    let name = delta.name.unwrap_or_default();
                    return Err(TransactionError::BeginWithinTransaction {
                        offset,
                        position,
                        name,
                    });
                }
                (BatchRecord::End | BatchRecord::Abort { .. }, None) => {
                    return Err(TransactionError::EndWithoutBegin { offset, position });
                }
            }
        }
        Ok(NextState { image, pending, outcome })
    }

    /// Returns the published image.
    pub fn image(&self) -> &Arc<I> {
        &self.image
    }

    /// Returns the log offset of the last batch applied or skipped.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Advances to `offset` past log entries that have no records for this reader.
    pub fn skip_to(&mut self, offset: u64) {
        self.offset = self.offset.max(offset);
    }

    /// Returns whether a transaction is in progress.
    pub fn has_open_transaction(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the name of the transaction in progress, if there is one and it has a name.
    pub fn open_transaction_name(&self) -> Option<&str> {
        self.pending.as_ref().and_then(|delta| delta.name.as_deref())
    }

    /// Returns the state with the records of the transaction in progress; `None` outside one.
    pub fn pending_image(&self) -> Option<&I> {
        self.pending.as_ref().map(|delta| &delta.image)
    }
}
