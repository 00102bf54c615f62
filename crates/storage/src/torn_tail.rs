//! Replays a log and discards its torn tail: records that a power loss left incomplete before they
//! were synced, and which therefore were never acknowledged.

use crate::log_record::{LogRecord, decode_record};
use crate::slot::SlotBody;
use crate::{Damage, LOG_FILES, file_index};
use postbarrow_consensus::RecoveredState;

/// The result of applying a log's intact records to the state of its slot.
pub(crate) struct Replayed {
    pub recovered: RecoveredState,
    /// Length of the intact records in bytes; a torn tail begins at this offset.
    pub log_bytes: u64,
    /// Number of the last intact record, from 1.
    pub sequence: u64,
}

/// Applies the log's records to the state of its slot, in order, up to the first record that is
/// torn or of another generation.
///
/// # Errors
///
/// `Damage` if a record is missing that had been synced.
pub(crate) fn replay(slot: &SlotBody, log: &[u8]) -> Result<Replayed, Damage> {
    let mut recovered = slot.recovered();
    let mut offset = 0;
    let mut sequence = 0;
    while let Some((framed, length)) = decode_record(&log[offset..]) {
        if framed.generation != slot.generation || framed.sequence != sequence + 1 {
            break;
        }
        sequence = framed.sequence;
        offset += length;
        replay_record(&mut recovered, framed.record);
    }
    let file = LOG_FILES[file_index(slot.generation)];
    if sequence == 0 {
        return Err(Damage::LostLogStart { log: file });
    }
    let missing = sequence + 1;
    if was_synced(missing, slot.generation, &log[(offset + 1).min(log.len())..]) {
        return Err(Damage::LostRecord { log: file, offset, sequence: missing });
    }
    Ok(Replayed { recovered, log_bytes: offset as u64, sequence })
}

fn replay_record(recovered: &mut RecoveredState, record: LogRecord) {
    match record {
        LogRecord::Start { entries } => recovered.entries = entries,
        LogRecord::HardState(hard_state) => {
            recovered.term = hard_state.term;
            recovered.voted_for = hard_state.voted_for;
        }
        LogRecord::Append(entries) => recovered.entries.extend(entries),
        LogRecord::Truncate { from } => recovered.entries.retain(|entry| entry.index < from),
    }
}

/// Returns whether a record of this generation, at any offset in `later`, shows that the record
/// with this sequence number had been synced.
fn was_synced(sequence: u64, generation: u64, later: &[u8]) -> bool {
    (0..later.len()).any(|at| {
        decode_record(&later[at..])
            .is_some_and(|(framed, _)| framed.generation == generation && framed.synced >= sequence)
    })
}

/// Returns the log's intact records. If a complete record of this generation follows a torn one,
/// all bytes after the intact records are set to zero: otherwise the next record written could end
/// exactly where the complete one begins, which would then be read as its successor.
pub(crate) fn without_torn_tail(log: &[u8], replayed: &Replayed, generation: u64) -> Vec<u8> {
    let end = replayed.log_bytes as usize;
    let is_record_at = |at: usize| {
        decode_record(&log[at..]).is_some_and(|(framed, _)| framed.generation == generation)
    };
    let mut intact = log[..end].to_vec();
    if (end..log.len()).any(is_record_at) {
        intact.resize(log.len(), 0);
    }
    intact
}

/// Returns whether a log is newer than `generation` and has a second record, which shows that its
/// slot was synced: a log grows past its first record only after that.
pub(crate) fn continues_newer_slot(log: &[u8], generation: u64) -> bool {
    let Some((start, length)) = decode_record(log) else { return false };
    start.generation > generation
        && decode_record(&log[length..])
            .is_some_and(|(next, _)| next.generation == start.generation)
}
