#![doc = include_str!("../README.md")]

mod batch;
mod tail;
mod writer;

pub use batch::{decode, encode, split};
pub use tail::{BatchOutcome, Tail};
pub use writer::{TransactionError, Writer};

use postbarrow_constants::plans::MARKER_TEXT_BYTES;
use serde::{Deserialize, Serialize};

/// State that records change; cloning must be cheap, for a clone is the rollback point.
pub trait Image: Clone {
    type Record;
    fn apply(&mut self, offset: u64, record: &Self::Record);
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BatchRecord<R> {
    Begin { name: Option<String> },
    Data(R),
    End,
    Abort { reason: Option<String> },
}

impl<R> BatchRecord<R> {
    pub fn begin(name: &str) -> Self {
        BatchRecord::Begin { name: Some(truncate_marker_text(name)) }
    }
    pub fn abort(reason: &str) -> Self {
        BatchRecord::Abort { reason: Some(truncate_marker_text(reason)) }
    }
    fn marker_text(&self) -> Option<&str> {
        match self {
            BatchRecord::Begin { name } => name.as_deref(),
            BatchRecord::Abort { reason } => reason.as_deref(),
            _ => None,
        }
    }
}

/// At most 255 bytes, cut between characters.
pub fn truncate_marker_text(text: &str) -> String {
    let mut end = text.len().min(MARKER_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_string()
}
