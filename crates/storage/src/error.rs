//! Why a write was not done, and what its caller may do next.

use std::io;

/// A write that was not done.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// There was no space for a write. Nothing was synced and nothing acknowledged since the last
    /// success: `Storage::resume` writes the same bytes at the same offsets again.
    #[error("no space on the disk: {0}")]
    Full(io::Error),
    /// The disk failed, perhaps in a sync. A second sync could succeed without having written
    /// anything, so nothing more may be written through this storage.
    #[error("the disk failed: {0}")]
    Failed(io::Error),
}

impl WriteError {
    /// Classifies the failure of a write that no sync has followed yet.
    pub(crate) fn before_sync(error: io::Error) -> Self {
        if is_full(&error) { WriteError::Full(error) } else { WriteError::Failed(error) }
    }
}

impl From<WriteError> for io::Error {
    fn from(error: WriteError) -> io::Error {
        match error {
            WriteError::Full(error) | WriteError::Failed(error) => error,
        }
    }
}

/// Whether a write was refused for lack of space: the disk's, a quota's or a file limit's.
pub fn is_full(error: &io::Error) -> bool {
    use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
    matches!(error.kind(), StorageFull | QuotaExceeded | FileTooLarge)
}
