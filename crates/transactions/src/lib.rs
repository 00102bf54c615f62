#![doc = include_str!("../README.md")]
#![deny(missing_docs)]

mod batch;
mod batch_record;
mod error;
mod tail;
mod writer;

pub use batch::{decode, encode, split};
pub use batch_record::{BatchRecord, truncate_marker_text};
pub use error::TransactionError;
pub use tail::{BatchOutcome, Tail};
pub use writer::Writer;

/// State that records change. A clone must be cheap, for clones are the published image, the
/// pending delta and the rollback image.
pub trait Image: Clone {
    /// One change.
    type Record;
    /// Applies a record of the batch at this log offset.
    fn apply(&mut self, offset: u64, record: &Self::Record);
}
