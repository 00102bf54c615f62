//! The records of a batch: data, and the markers that frame a transaction.

use postbarrow_constants::plans::MARKER_TEXT_BYTES;
use serde::{Deserialize, Serialize};

/// One record of a batch (KIP-868, "Proposed Changes"). Data outside a transaction is published at
/// once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BatchRecord<R> {
    /// Starts a transaction.
    Begin {
        /// For operators; at most 255 bytes.
        name: Option<String>,
    },
    /// A change of the state.
    Data(R),
    /// Commits the transaction.
    End,
    /// Discards the transaction.
    Abort {
        /// For operators; at most 255 bytes.
        reason: Option<String>,
    },
}

impl<R> BatchRecord<R> {
    /// A Begin marker; its name is truncated if it is too long.
    pub fn begin(name: &str) -> Self {
        BatchRecord::Begin { name: Some(truncate_marker_text(name)) }
    }

    /// An Abort marker; its reason is truncated if it is too long.
    pub fn abort(reason: &str) -> Self {
        BatchRecord::Abort { reason: Some(truncate_marker_text(reason)) }
    }

    pub(crate) fn marker_text(&self) -> Option<&str> {
        match self {
            BatchRecord::Begin { name } => name.as_deref(),
            BatchRecord::Abort { reason } => reason.as_deref(),
            _ => None,
        }
    }
}

/// The first 255 bytes of a text at most, truncated between characters.
pub fn truncate_marker_text(text: &str) -> String {
    let mut end = text.len().min(MARKER_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_string()
}
