//! Errors of batches and of the steps of a transaction.

use postbarrow_constants::plans::{DELTA_BYTES, MARKER_TEXT_BYTES};

/// The reason for which a batch or a step of a transaction was rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TransactionError {
    /// The writer already has a transaction in progress.
    #[error("a transaction is already open")]
    AlreadyOpen,
    /// The writer has no transaction in progress.
    #[error("no transaction is open")]
    NotOpen,
    /// The pending delta of the writer's transaction would exceed `DELTA_BYTES`.
    #[error(
        "its change takes {size_bytes} bytes in the log, over the bound of {DELTA_BYTES} bytes"
    )]
    DeltaTooLarge {
        /// Size of the pending delta in bytes.
        size_bytes: usize,
    },
    /// A batch has a format that this release doesn't read.
    #[error("batch of unknown format {0:?}")]
    UnknownFormat(
        /// The batch's first byte; `None` if the batch is empty.
        Option<u8>,
    ),
    /// A batch can't be decoded.
    #[error("batch can't be decoded: {0}")]
    Malformed(
        /// The decoder's message.
        String,
    ),
    /// The text of a marker in a batch exceeds `MARKER_TEXT_BYTES`, to which writers truncate it.
    #[error("batch record {position}: marker text over {MARKER_TEXT_BYTES} bytes")]
    MarkerTextTooLong {
        /// Index of the marker in its batch, from 0.
        position: usize,
    },
    /// A batch's offset is not after the last offset that the tail applied or skipped, so the batch
    /// was handled before.
    #[error("batch at offset {offset} is not after the last applied offset {last}")]
    OffsetNotAfter {
        /// The batch's log offset.
        offset: u64,
        /// The last offset that the tail applied or skipped.
        last: u64,
    },
    /// A Begin marker within a transaction.
    #[error("offset {offset} record {position}: Begin within transaction {name:?}")]
    BeginWithinTransaction {
        /// The batch's log offset.
        offset: u64,
        /// Index of the marker in its batch, from 0.
        position: usize,
        /// Name of the transaction in progress; empty if it has none.
        name: String,
    },
    /// An End or Abort marker outside a transaction.
    #[error("offset {offset} record {position}: End or Abort without Begin")]
    EndWithoutBegin {
        /// The batch's log offset.
        offset: u64,
        /// Index of the marker in its batch, from 0.
        position: usize,
    },
}
