//! Why a write to the disk was not done, and what its caller may do next.

use std::{fmt, io};

/// A write that was not done.
#[derive(Debug)]
pub enum WriteError {
    /// No space was left for a write. Nothing was synced and nothing acknowledged since the last
    /// success: `Storage::resume` writes the same bytes at the same places again.
    Full(io::Error),
    /// The disk failed, perhaps in a sync. A second sync could succeed without having written
    /// anything, so nothing more may be written through this storage.
    Failed(io::Error),
}

impl WriteError {
    /// Sorts the failure of a write that no sync has followed yet.
    pub(crate) fn before_sync(error: io::Error) -> Self {
        if is_full(&error) { WriteError::Full(error) } else { WriteError::Failed(error) }
    }
}

/// Whether the system refused a write for want of space: the disk's, a quota's or a file limit's.
pub fn is_full(error: &io::Error) -> bool {
    use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
    matches!(error.kind(), StorageFull | QuotaExceeded | FileTooLarge)
}

impl fmt::Display for WriteError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            WriteError::Full(error) => write!(out, "no space on the disk: {error}"),
            WriteError::Failed(error) => write!(out, "the disk failed: {error}"),
        }
    }
}

impl std::error::Error for WriteError {}

impl From<WriteError> for io::Error {
    fn from(error: WriteError) -> io::Error {
        match error {
            WriteError::Full(error) | WriteError::Failed(error) => error,
        }
    }
}
