//! The size of a transaction's pending delta. Only the writer bounds it, before it begins the
//! transaction: a committed transaction is applied whatever its size.

use crate::{BatchRecord, encoded_bytes};
use serde::Serialize;

/// Returns the size in bytes of a transaction's pending delta: the encoded batch with the Begin
/// marker and all batches after it, except for the one with the End or Abort marker.
pub fn delta_bytes<R: Serialize>(
    begin_batch: &[BatchRecord<R>],
    batches: &[Vec<BatchRecord<R>>],
) -> usize {
    let batches_bytes: usize = batches.iter().map(|batch| encoded_bytes(batch)).sum();
    encoded_bytes(begin_batch) + batches_bytes
}
