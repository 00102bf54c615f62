use crate::BatchRecord;
use postbarrow_constants::plans::{BATCH_BYTES, MARKER_TEXT_BYTES};
use serde::{Serialize, de::DeserializeOwned};

/// Gate of the record format: a reader of another format stops instead of guessing.
const FORMAT: u8 = 1;

pub fn encode<R: Serialize>(lines: &[BatchRecord<R>]) -> Vec<u8> {
    let mut bytes = vec![FORMAT];
    rmp_serde::encode::write(&mut bytes, lines).expect("records encode into memory");
    bytes
}

pub fn decode<R: DeserializeOwned>(bytes: &[u8]) -> Result<Vec<BatchRecord<R>>, String> {
    let Some((&FORMAT, body)) = bytes.split_first() else {
        return Err(format!("batch of unknown format {:?}", bytes.first()));
    };
    let lines: Vec<BatchRecord<R>> =
        rmp_serde::from_slice(body).map_err(|error| format!("batch: {error}"))?;
    for (at, line) in lines.iter().enumerate() {
        if line.marker_text().is_some_and(|text| text.len() > MARKER_TEXT_BYTES) {
            return Err(format!("batch line {at}: marker text over {MARKER_TEXT_BYTES} bytes"));
        }
    }
    Ok(lines)
}

/// Groups records into batches of bounded size, in order.
pub fn split<R: Serialize>(records: Vec<R>) -> Vec<Vec<R>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut size_bytes = 0;
    for record in records {
        let length = rmp_serde::to_vec(&record).map_or(0, |bytes| bytes.len());
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
