#![doc = include_str!("../README.md")]
#![deny(missing_docs)]

mod batch;
mod batch_record;
mod delta_size;
mod error;
mod messagepack_size;
mod tail;
mod writer;

pub use batch::{decode, encode, encoded_bytes, split};
pub use batch_record::{BatchRecord, truncate_marker_text};
pub use delta_size::delta_bytes;
pub use error::TransactionError;
pub use messagepack_size::messagepack_bytes;
pub use tail::{BatchOutcome, Tail};
pub use writer::Writer;

/// A state that is changed by applying records to it. Clones must be cheap, since the published
/// image, the pending delta and the state to which an abort returns are clones.
pub trait Image: Clone {
    /// The type of one change of the state.
    type Record;
    /// Applies a record of the batch at this log offset.
    fn apply(&mut self, offset: u64, record: &Self::Record);
}
