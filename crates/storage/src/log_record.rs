//! The format of a log record: magic, length, CRC-32 and a MessagePack body, integers
//! little-endian.

use postbarrow_consensus::{Entry, HardState};
use serde::{Deserialize, Serialize};
use std::io;

const MAGIC: [u8; 4] = *b"PBR1";
const HEADER_BYTES: usize = 12;

/// A change of the member's state after the slot that the log follows.
#[derive(Serialize, Deserialize)]
pub(crate) enum LogRecord {
    /// The first record of a log: the entries after the slot's snapshot.
    Start {
        entries: Vec<Entry>,
    },
    #[serde(rename = "Hard")]
    HardState(HardState),
    Append(Vec<Entry>),
    /// Removes the entries whose index is `from` or higher.
    Truncate {
        from: u64,
    },
}

/// A log record with its position, which shows whether the record is of another generation or out
/// of order.
#[derive(Serialize, Deserialize)]
pub(crate) struct Framed<R> {
    /// Generation of the log that the record belongs to.
    pub generation: u64,
    /// Number of the record within its log, from 1.
    pub sequence: u64,
    /// Number of the newest record in this log that was known to be synced when this one was
    /// written; 0 if there was none.
    pub synced: u64,
    pub record: R,
}

/// Encodes a record.
///
/// # Errors
///
/// The record can't be encoded, or is longer than its length field can state. Readers have no
/// other bound: a record that was written must be read again.
pub(crate) fn encode_record(
    generation: u64,
    sequence: u64,
    synced: u64,
    record: &LogRecord,
) -> io::Result<Vec<u8>> {
    let framed = Framed { generation, sequence, synced, record };
    let body = rmp_serde::to_vec(&framed).map_err(io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(body.len() + HEADER_BYTES);
    bytes.extend(MAGIC);
    bytes.extend(length.to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    Ok(bytes)
}

/// Returns the record at the start of `bytes` and its length in bytes, or `None` unless the record
/// is complete and intact.
pub(crate) fn decode_record(bytes: &[u8]) -> Option<(Framed<LogRecord>, usize)> {
    if bytes.get(..4)? != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(bytes.get(8..12)?.try_into().ok()?);
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    let framed = rmp_serde::from_slice(body).ok()?;
    Some((framed, HEADER_BYTES + length))
}
