//! Prepares a disk for a new member.

use crate::slot::decode_slot;
use crate::{Disk, LOG_FILES, SLOT_FILES, Storage};
use postbarrow_consensus::{HardState, MemberId};
use std::io;

impl<D: Disk> Storage<D> {
    /// Prepares a disk for a new member, which has no state yet. The state of an earlier member is
    /// erased first, in an order in which no older state of it ever looks complete.
    ///
    /// # Errors
    ///
    /// Errors of the disk; the call may be repeated on the same disk.
    pub fn create(mut disk: D, id: MemberId) -> io::Result<Self> {
        create_files(&mut disk)?;
        for file in erasure_order(&mut disk)? {
            disk.truncate(file, 0)?;
            disk.sync(file)?;
        }
        let mut storage = Storage::uninitialized(disk, id);
        storage.write_slot(None, HardState::default(), Vec::new()).map_err(io::Error::from)?;
        Ok(storage)
    }
}

/// Creates both slot files and both log files and makes their names durable, which must precede the
/// acknowledgement of any write to them.
pub(crate) fn create_files<D: Disk>(disk: &mut D) -> io::Result<()> {
    for file in SLOT_FILES.iter().chain(&LOG_FILES) {
        disk.create(file)?;
    }
    disk.sync_names()
}

/// Returns the files in the order of their erasure: the older slot before the newer one, and both
/// before the logs, whose records show that a slot is missing.
fn erasure_order<D: Disk>(disk: &mut D) -> io::Result<Vec<&'static str>> {
    let mut slots = Vec::new();
    for file in SLOT_FILES {
        let generation = decode_slot(&disk.read(file)?).map(|body| body.generation);
        slots.push((generation, file));
    }
    slots.sort_unstable();
    Ok(slots.into_iter().map(|(_, file)| file).chain(LOG_FILES).collect())
}
