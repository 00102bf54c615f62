//! Errors of writes to the disk, and how the caller may proceed after each.

use std::io;

/// The error of a write that was not completed.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The disk had no space for a write. The write was not synced, and nothing was acknowledged
    /// since the last success: `Storage::resume` writes the same bytes at the same offsets again.
    #[error("disk has no space for a write: {0}")]
    Full(io::Error),
    /// A write failed for another reason, or a sync failed for any reason. A second sync could
    /// succeed without having written anything, so nothing more may be written through this
    /// storage.
    #[error("disk write or sync failed: {0}")]
    Failed(io::Error),
}

impl WriteError {
    /// Classifies the error of a write before any sync of that write.
    pub(crate) fn before_sync(error: io::Error) -> Self {
        if is_out_of_space(&error) { WriteError::Full(error) } else { WriteError::Failed(error) }
    }
}

impl From<WriteError> for io::Error {
    fn from(error: WriteError) -> io::Error {
        match error {
            WriteError::Full(error) | WriteError::Failed(error) => error,
        }
    }
}

/// Returns whether a write was refused for lack of space: the disk is full, or a quota or the limit
/// on a file's size is reached.
pub fn is_out_of_space(error: &io::Error) -> bool {
    use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
    matches!(error.kind(), StorageFull | QuotaExceeded | FileTooLarge)
}
