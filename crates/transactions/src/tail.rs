//! A reader of the log.

use crate::{BatchRecord, Image, TransactionError};
use postbarrow_constants::plans::DELTA_BYTES;
use std::sync::Arc;

/// What a batch did to the published image.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchOutcome {
    /// A new image is published.
    Published,
    /// The image is as before; a transaction is in progress.
    Pending,
    /// The image is as before; a transaction was discarded.
    Aborted {
        /// As the Abort marker states it.
        reason: Option<String>,
    },
}

/// A transaction in progress.
#[derive(Clone)]
struct PendingDelta<I> {
    image: I,
    size_bytes: usize,
    name: Option<String>,
}

/// A reader of the log: applies records to a pending delta and publishes an image at End only.
#[derive(Clone)]
pub struct Tail<I> {
    image: Arc<I>,
    offset: u64,
    pending: Option<PendingDelta<I>>,
}

/// What a batch leads to, so that a malformed one changes nothing of the tail.
struct NextState<I> {
    image: Option<I>,
    pending: Option<PendingDelta<I>>,
    outcome: BatchOutcome,
}

impl<I: Image> Tail<I> {
    /// A reader that continues after `offset`, with the image published there.
    pub fn new(offset: u64, image: I) -> Self {
        Tail { image: Arc::new(image), offset, pending: None }
    }

    /// Applies one atomic batch of `size_bytes` encoded bytes.
    ///
    /// # Errors
    ///
    /// Misplaced markers, an offset that is not after the last one, or a pending delta over its
    /// bound. The tail is then as it was, and its owner must fetch an image.
    pub fn apply(
        &mut self,
        offset: u64,
        size_bytes: usize,
        records: &[BatchRecord<I::Record>],
    ) -> Result<BatchOutcome, TransactionError> {
        if offset <= self.offset {
            return Err(TransactionError::OffsetNotAfter { offset, last: self.offset });
        }
        let mut next = self.next_state(offset, records)?;
        if let Some(delta) = &mut next.pending {
            delta.size_bytes += size_bytes;
            if delta.size_bytes > DELTA_BYTES {
                return Err(TransactionError::PendingDeltaTooLarge { offset });
            }
        }
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
                    pending = Some(PendingDelta { image: base(), size_bytes: 0, name });
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
                    return Err(TransactionError::CloseWithoutBegin { offset, position });
                }
            }
        }
        Ok(NextState { image, pending, outcome })
    }

    /// The published image.
    pub fn image(&self) -> &Arc<I> {
        &self.image
    }

    /// The log offset of the last batch applied or skipped.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Skips offsets that carry nothing for this reader.
    pub fn skip_to(&mut self, offset: u64) {
        self.offset = self.offset.max(offset);
    }

    /// Whether a transaction is in progress.
    pub fn is_open(&self) -> bool {
        self.pending.is_some()
    }

    /// The name of the transaction in progress, if it has one.
    pub fn open_transaction_name(&self) -> Option<&str> {
        self.pending.as_ref().and_then(|delta| delta.name.as_deref())
    }

    /// The state within the transaction in progress.
    pub fn staged(&self) -> Option<&I> {
        self.pending.as_ref().map(|delta| &delta.image)
    }
}
