//! The encoding of a batch, and the grouping of records into batches.

use crate::{BatchRecord, TransactionError, messagepack_bytes};
use postbarrow_constants::plans::{BATCH_BYTES, MARKER_TEXT_BYTES};
use serde::{Serialize, de::DeserializeOwned};

/// The format number, the first byte of each batch: a reader that does not know the format rejects
/// the batch instead of misreading it.
const FORMAT: u8 = 1;

/// Encodes a batch as it is stored in the log: a byte for the format, then a MessagePack array of
/// the records.
///
/// # Panics
///
/// If a record can't be encoded, which does not happen to types with derived serialization.
pub fn encode<R: Serialize>(records: &[BatchRecord<R>]) -> Vec<u8> {
    let mut bytes = vec![FORMAT];
    rmp_serde::encode::write(&mut bytes, records).expect("encoding records into memory succeeds");
    bytes
}

/// Returns the number of bytes that [`encode`] returns for these records.
///
/// # Panics
///
/// If a record can't be encoded, like [`encode`].
pub fn encoded_bytes<R: Serialize>(records: &[BatchRecord<R>]) -> usize {
    size_of_val(&FORMAT) + messagepack_bytes(records)
}

/// Decodes the records of a batch.
///
/// # Errors
///
/// `UnknownFormat`, `Malformed` or `MarkerTextTooLong` of `TransactionError`.
pub fn decode<R: DeserializeOwned>(bytes: &[u8]) -> Result<Vec<BatchRecord<R>>, TransactionError> {
    let Some((&FORMAT, body)) = bytes.split_first() else {
        return Err(TransactionError::UnknownFormat(bytes.first().copied()));
    };
    let records: Vec<BatchRecord<R>> = rmp_serde::from_slice(body)
        .map_err(|error| TransactionError::Malformed(error.to_string()))?;
    for (position, record) in records.iter().enumerate() {
        if record.marker_text().is_some_and(|text| text.len() > MARKER_TEXT_BYTES) {
            return Err(TransactionError::MarkerTextTooLong { position });
        }
    }
    Ok(records)
}

/// Groups records in order into batches of at most `BATCH_BYTES` bytes; a longer record forms a
/// batch by itself.
pub fn split<R: Serialize>(records: Vec<R>) -> Vec<Vec<R>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut size_bytes = 0;
    for record in records {
        let length = messagepack_bytes(&record);
        if !batch.is_empty() && size_bytes + length > BATCH_BYTES {
            batches.push(std::mem::take(&mut batch));
            size_bytes = 0;
        }
        size_bytes += length;
        batch.push(record);
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}
