//! The reason why a member can't apply the committed log.

use postbarrow_transactions::TransactionError;

/// The first part of the committed log that a member can't apply. What follows it is not applied
/// either, and the member neither leads nor answers.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("this release can't apply the log at offset {offset}: {cause}")]
pub struct ApplyFailure {
    /// Log offset of the entry or of the snapshot.
    pub offset: u64,
    /// What is wrong with it.
    pub cause: ApplyError,
}

/// What is wrong with a part of the committed log. Its checksums were right, so it is of a format
/// that this release doesn't know, or against a rule that this release has.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ApplyError {
    /// A batch can't be decoded or applied.
    #[error(transparent)]
    Batch(#[from] TransactionError),
    /// A snapshot can't be decoded.
    #[error("snapshot can't be decoded: {0}")]
    Snapshot(
        /// The decoder's message.
        String,
    ),
}
