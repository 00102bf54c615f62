//! What a start finds on the disk, and whether it is all that was promised.

use crate::create::create_names;
use crate::frame::{LogRecord, SlotBody, read_record, read_slot};
use crate::{Disk, LOGS, SLOTS, Storage, recovered};
use postbarrow_consensus::RecoveredState;
use std::io;

/// What a start finds on the disk.
pub enum Opened<D> {
    /// Nothing was ever promised from here.
    Empty(D),
    /// Synced memory is missing: this disk may not vote as who it was.
    Damaged { disk: D, finding: String },
    /// All that was promised.
    Whole { storage: Storage<D>, recovered: RecoveredState },
}

/// Reads a disk back and makes sure that what was read lasts.
pub fn open<D: Disk>(mut disk: D) -> io::Result<Opened<D>> {
    let raw = [disk.read(SLOTS[0])?, disk.read(SLOTS[1])?];
    let logs = [disk.read(LOGS[0])?, disk.read(LOGS[1])?];
    let slots = [read_slot(&raw[0]), read_slot(&raw[1])];
    let newest = slots.into_iter().flatten().max_by_key(|body| body.generation);
    let Some(body) = newest else {
        if logs.iter().any(|log| wrote_beyond_start(log, 0)) {
            return Ok(Opened::Damaged { disk, finding: "no slot is sound, yet a log is".into() });
        }
        return Ok(Opened::Empty(disk));
    };
    let turn = (body.generation % 2) as usize;
    if wrote_beyond_start(&logs[1 - turn], body.generation) {
        let finding = format!("{}: its log is newer than any sound slot", SLOTS[1 - turn]);
        return Ok(Opened::Damaged { disk, finding });
    }
    match replay(&body, &logs[turn]) {
        Err(finding) => Ok(Opened::Damaged { disk, finding: format!("{}: {finding}", LOGS[turn]) }),
        Ok(replayed) => {
            let mut storage = Storage {
                generation: body.generation,
                log_bytes: replayed.bytes,
                sequence: replayed.sequence,
                synced: replayed.sequence,
                ..Storage::blank(disk, body.id)
            };
            let disk = &mut storage.disk;
            create_names(disk)?;
            renew(disk, LOGS[turn], &sound_log(&logs[turn], &replayed, body.generation))?;
            renew(disk, SLOTS[turn], &raw[turn])?;
            Ok(Opened::Whole { storage, recovered: replayed.recovered })
        }
    }
}

/// What reads back may be there in memory only, after a sync that failed: it is written and synced
/// anew, the same bytes in their places, before anybody builds on it.
fn renew<D: Disk>(disk: &mut D, file: &str, bytes: &[u8]) -> io::Result<()> {
    disk.write(file, 0, bytes)?;
    disk.sync(file)
}

/// The log's sound records. Where a whole record of this generation follows behind a torn one, all
/// behind the sound ones becomes zero: a record written next could end right where it begins.
fn sound_log(log: &[u8], replayed: &Replayed, generation: u64) -> Vec<u8> {
    let end = replayed.bytes as usize;
    let follows = |at: &usize| {
        read_record(&log[*at..]).is_some_and(|(framed, _)| framed.generation == generation)
    };
    let mut sound = log[..end].to_vec();
    if (end..log.len()).any(|at| follows(&at)) {
        sound.resize(log.len(), 0);
    }
    sound
}

/// A log only grows past its start once its slot was synced.
fn wrote_beyond_start(log: &[u8], above: u64) -> bool {
    let Some((start, length)) = read_record(log) else { return false };
    start.generation > above
        && read_record(&log[length..]).is_some_and(|(next, _)| next.generation == start.generation)
}

struct Replayed {
    recovered: RecoveredState,
    bytes: u64,
    sequence: u64,
}

fn replay(body: &SlotBody, log: &[u8]) -> Result<Replayed, String> {
    let mut recovered = recovered(body);
    let mut at = 0;
    let mut sequence = 0;
    while let Some((framed, length)) = read_record(&log[at..]) {
        if framed.generation != body.generation || framed.sequence != sequence + 1 {
            break;
        }
        sequence = framed.sequence;
        at += length;
        match framed.record {
            LogRecord::Start { entries } => recovered.entries = entries,
            LogRecord::Hard(hard) => {
                recovered.term = hard.term;
                recovered.voted_for = hard.voted_for;
            }
            LogRecord::Append(entries) => recovered.entries.extend(entries),
            LogRecord::Truncate { from } => recovered.entries.retain(|entry| entry.index < from),
        }
    }
    if sequence == 0 {
        return Err("its start is missing".into());
    }
    let lost = sequence + 1;
    for later in at + 1..log.len() {
        if let Some((framed, _)) = read_record(&log[later..])
            && framed.generation == body.generation
            && framed.synced >= lost
        {
            return Err(format!("byte {at}: record {lost} was synced and is not sound"));
        }
    }
    Ok(Replayed { recovered, bytes: at as u64, sequence })
}
