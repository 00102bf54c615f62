use postbarrow_consensus::{Entry, HardState, MemberId, Snapshot};
use postbarrow_constants::consensus::LOG_RECORD_BYTES;
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::Arc;

const SLOT_MAGIC: &[u8; 8] = b"PBSLOT01";
const RECORD_MAGIC: [u8; 4] = *b"PBR1";
pub(crate) const RECORD_HEAD: usize = 12;

#[derive(Serialize, Deserialize)]
pub(crate) struct SlotBody {
    pub generation: u64,
    pub id: MemberId,
    pub hard: HardState,
    pub snapshot: Option<Arc<Snapshot>>,
}

#[derive(Serialize, Deserialize)]
pub(crate) enum LogRecord {
    Start { entries: Vec<Entry> },
    Hard(HardState),
    Append(Vec<Entry>),
    Truncate { from: u64 },
}

#[derive(Serialize, Deserialize)]
pub(crate) struct Framed<R> {
    pub generation: u64,
    pub sequence: u64,
    /// The highest sequence known synced when this one was written.
    pub synced: u64,
    pub record: R,
}

fn encode<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    rmp_serde::to_vec(value).map_err(io::Error::other)
}

pub(crate) fn log_record(
    generation: u64,
    sequence: u64,
    synced: u64,
    record: &LogRecord,
) -> io::Result<Vec<u8>> {
    let body = encode(&Framed { generation, sequence, synced, record })?;
    let mut bytes = Vec::with_capacity(body.len() + RECORD_HEAD);
    bytes.extend(RECORD_MAGIC);
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    Ok(bytes)
}

/// The record at the front of `bytes` and its whole length; None if it is not whole and sound.
pub(crate) fn read_record(bytes: &[u8]) -> Option<(Framed<LogRecord>, usize)> {
    if bytes.get(..4)? != RECORD_MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(bytes.get(8..12)?.try_into().ok()?);
    if length > LOG_RECORD_BYTES {
        return None;
    }
    let body = bytes.get(RECORD_HEAD..RECORD_HEAD + length)?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    let framed = rmp_serde::from_slice(body).ok()?;
    Some((framed, RECORD_HEAD + length))
}

pub(crate) fn slot_bytes(body: &SlotBody) -> io::Result<Vec<u8>> {
    let body = encode(body)?;
    let mut bytes = Vec::with_capacity(body.len() + 20);
    bytes.extend(SLOT_MAGIC);
    bytes.extend((body.len() as u64).to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    Ok(bytes)
}

pub(crate) fn read_slot(bytes: &[u8]) -> Option<SlotBody> {
    if bytes.get(..8)? != SLOT_MAGIC {
        return None;
    }
    let length = u64::from_le_bytes(bytes.get(8..16)?.try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(bytes.get(16..20)?.try_into().ok()?);
    let body = bytes.get(20..20usize.checked_add(length)?)?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    rmp_serde::from_slice(body).ok()
}
