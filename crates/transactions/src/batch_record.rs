//! The records of a batch: data, and the markers that frame a transaction.

use postbarrow_constants::plans::MARKER_TEXT_BYTES;
use serde::{Deserialize, Serialize};

/// One record of a batch (KIP-868, "Proposed Changes"). Data outside a transaction is published at
/// once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BatchRecord<R> {
    /// Starts a transaction.
    Begin {
        /// Name of the transaction, for operators, if it has one; at most 255 bytes.
        name: Option<String>,
    },
    /// A change of the state.
    Data(R),
    /// Commits the transaction.
    End,
    /// Discards the transaction.
    Abort {
        /// Reason of the abort, for operators, if there is one; at most 255 bytes.
        reason: Option<String>,
    },
}

impl<R> BatchRecord<R> {
    /// Creates a Begin marker; a name of more than 255 bytes is truncated.
    pub fn begin(name: &str) -> Self {
        BatchRecord::Begin { name: Some(truncate_marker_text(name)) }
    }

    /// Creates an Abort marker; a reason of more than 255 bytes is truncated.
    pub fn abort(reason: &str) -> Self {
        BatchRecord::Abort { reason: Some(truncate_marker_text(reason)) }
    }

    /// Returns the name in a Begin marker or the reason in an Abort marker, if there is one.
    pub(crate) fn marker_text(&self) -> Option<&str> {
        match self {
            BatchRecord::Begin { name } => name.as_deref(),
            BatchRecord::Abort { reason } => reason.as_deref(),
            _ => None,
        }
    }
}

/// Returns a text truncated to at most 255 bytes, between two characters.
pub fn truncate_marker_text(text: &str) -> String {
    let mut end = text.len().min(MARKER_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_string()
}
