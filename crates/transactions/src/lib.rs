#![doc = include_str!("../README.md")]

mod batch;
mod tail;
mod writer;

pub use batch::{decode, encode, split};
pub use tail::{Seen, Tail};
pub use writer::{Refusal, Writer};

use postbarrow_constants::plans::MARKER_TEXT_BYTES;
use serde::{Deserialize, Serialize};

/// State that records change; cloning must be cheap, for a clone is the rollback point.
pub trait Image: Clone {
    type Record;
    fn apply(&mut self, offset: u64, record: &Self::Record);
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Line<R> {
    Begin { name: Option<String> },
    Data(R),
    End,
    Abort { reason: Option<String> },
}

impl<R> Line<R> {
    pub fn begin(name: &str) -> Self {
        Line::Begin { name: Some(cut(name)) }
    }
    pub fn abort(reason: &str) -> Self {
        Line::Abort { reason: Some(cut(reason)) }
    }
    fn marker_text(&self) -> Option<&str> {
        match self {
            Line::Begin { name } => name.as_deref(),
            Line::Abort { reason } => reason.as_deref(),
            _ => None,
        }
    }
}

/// At most 255 bytes, cut between characters.
pub fn cut(text: &str) -> String {
    let mut end = text.len().min(MARKER_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_string()
}
