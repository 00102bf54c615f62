//! Why a batch or a step of a transaction was not accepted.

use postbarrow_constants::plans::{DELTA_BYTES, MARKER_TEXT_BYTES};

/// A batch or a step of a transaction that was not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TransactionError {
    /// A writer has a transaction in progress already.
    #[error("a transaction is open")]
    AlreadyOpen,
    /// A writer has no transaction in progress.
    #[error("no transaction is open")]
    NotOpen,
    /// A writer's transaction is over the bound of a delta.
    #[error("the transaction is over {DELTA_BYTES} bytes")]
    OverDelta,
    /// A batch is of a format that this release doesn't read.
    #[error("batch of unknown format {0:?}")]
    UnknownFormat(
        /// The batch's first byte; none if the batch is empty.
        Option<u8>,
    ),
    /// A batch can't be decoded.
    #[error("batch: {0}")]
    Malformed(
        /// The decoder's message.
        String,
    ),
    /// A marker in a batch has a longer text than any writer writes.
    #[error("batch line {position}: marker text over {MARKER_TEXT_BYTES} bytes")]
    MarkerTextTooLong {
        /// Index of the marker in its batch, from 0.
        position: usize,
    },
    /// A batch was applied before.
    #[error("offset {offset} is not after {last}")]
    OffsetNotAfter {
        /// The batch's log offset.
        offset: u64,
        /// The offset of the last batch applied.
        last: u64,
    },
    /// A transaction starts within another.
    #[error("offset {offset} line {position}: Begin within {name:?}")]
    BeginWithinTransaction {
        /// The batch's log offset.
        offset: u64,
        /// Index of the marker in its batch, from 0.
        position: usize,
        /// Name of the transaction in progress; empty if it has none.
        name: String,
    },
    /// An End or Abort outside a transaction.
    #[error("offset {offset} line {position}: a close without Begin")]
    CloseWithoutBegin {
        /// The batch's log offset.
        offset: u64,
        /// Index of the marker in its batch, from 0.
        position: usize,
    },
    /// The pending delta of a tail is over its bound.
    #[error("offset {offset}: pending delta over {DELTA_BYTES} bytes")]
    PendingDeltaTooLarge {
        /// The batch's log offset.
        offset: u64,
    },
}
