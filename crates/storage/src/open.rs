//! Recovers a member's state from its disk at the start of a process.

use crate::create::create_files;
use crate::slot::{SlotBody, decode_slot};
use crate::torn_tail::{Replayed, continues_newer_slot, replay, without_torn_tail};
use crate::{Damage, Disk, LOG_FILES, SLOT_FILES, Storage, file_index};
use postbarrow_consensus::RecoveredState;
use std::io;

/// The result of reading a disk at the start of a process.
pub enum OpenResult<D> {
    /// No write to this disk was ever acknowledged.
    Empty(D),
    /// Synced data is missing: a process on this disk must not vote as the member that the disk
    /// belonged to.
    Damaged {
        /// The disk, which `Storage::create` may erase for a new member.
        disk: D,
        /// The synced data that is missing.
        damage: Damage,
    },
    /// All acknowledged writes were read.
    Recovered {
        /// The storage for the member's next writes.
        storage: Storage<D>,
        /// The member's state, from all acknowledged writes.
        recovered: RecoveredState,
    },
}

/// The content of both slot files and both log files, as read from the disk.
struct Files {
    slots: [Vec<u8>; 2],
    logs: [Vec<u8>; 2],
}

/// Reads a disk and makes sure that the recovered state is durable.
///
/// # Errors
///
/// Errors of the disk. If the error is one of a full disk, the disk may be opened again once it has
/// space.
pub fn open<D: Disk>(mut disk: D) -> io::Result<OpenResult<D>> {
    let files = Files {
        slots: [disk.read(SLOT_FILES[0])?, disk.read(SLOT_FILES[1])?],
        logs: [disk.read(LOG_FILES[0])?, disk.read(LOG_FILES[1])?],
    };
    let slots = [decode_slot(&files.slots[0]), decode_slot(&files.slots[1])];
    let newest = slots.into_iter().flatten().max_by_key(|body| body.generation);
    let Some(slot) = newest else {
        if files.logs.iter().any(|log| continues_newer_slot(log, 0)) {
            return Ok(OpenResult::Damaged { disk, damage: Damage::NoIntactSlot });
        }
        return Ok(OpenResult::Empty(disk));
    };
    let index = file_index(slot.generation);
    if continues_newer_slot(&files.logs[1 - index], slot.generation) {
        let damage = Damage::LostSlot { slot: SLOT_FILES[1 - index] };
        return Ok(OpenResult::Damaged { disk, damage });
    }
    match replay(&slot, &files.logs[index]) {
        Err(damage) => Ok(OpenResult::Damaged { disk, damage }),
        Ok(replayed) => recover_storage(disk, &slot, &files, replayed),
    }
}

/// Makes the replayed records durable and returns the storage whose next record follows them.
fn recover_storage<D: Disk>(
    disk: D,
    slot: &SlotBody,
    files: &Files,
    replayed: Replayed,
) -> io::Result<OpenResult<D>> {
    let mut storage = Storage {
        generation: slot.generation,
        log_bytes: replayed.log_bytes,
        sequence: replayed.sequence,
        synced: replayed.sequence,
        ..Storage::uninitialized(disk, slot.id)
    };
    let index = storage.file_index();
    let disk = &mut storage.disk;
    create_files(disk)?;
    let log = without_torn_tail(&files.logs[index], &replayed, slot.generation);
    rewrite(disk, LOG_FILES[index], &log)?;
    rewrite(disk, SLOT_FILES[index], &files.slots[index])?;
    Ok(OpenResult::Recovered { storage, recovered: replayed.recovered })
}

/// Writes and syncs bytes that were read from the file. After a failed sync they may be in the page
/// cache only, so they must be durable before later writes depend on them.
fn rewrite<D: Disk>(disk: &mut D, file: &str, bytes: &[u8]) -> io::Result<()> {
    disk.write(file, 0, bytes)?;
    disk.sync(file)
}
