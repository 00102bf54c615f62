//! A new member's disk, and the space that is kept for it.

use crate::frame::read_slot;
use crate::{Disk, LOGS, SLOTS, Storage, WriteError};
use postbarrow_consensus::{HardState, MemberId};
use std::io;

/// Bytes to keep for each of the two logs and each of the two slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    pub log_bytes: u64,
    pub slot_bytes: u64,
}

impl<D: Disk> Storage<D> {
    /// A new disk: a new member, with nothing to remember yet. What an earlier member left is
    /// erased first, in an order that never makes its older state look whole.
    pub fn create(mut disk: D, id: MemberId) -> io::Result<Self> {
        create_names(&mut disk)?;
        for file in erasure_order(&mut disk)? {
            disk.truncate(file, 0)?;
            disk.sync(file)?;
        }
        let mut made = Storage::blank(disk, id);
        made.slot(None, HardState::default(), Vec::new()).map_err(io::Error::from)?;
        Ok(made)
    }

    /// Takes the space of both slots and both logs from the disk, so that a write within these
    /// bounds can't fail for want of space. Nothing is lost when it fails: it can be tried again.
    pub fn reserve(&mut self, reservation: Reservation) -> Result<(), WriteError> {
        let logs = LOGS.map(|file| (file, reservation.log_bytes));
        let slots = SLOTS.map(|file| (file, reservation.slot_bytes));
        for (file, bytes) in logs.into_iter().chain(slots) {
            self.disk.reserve(file, bytes).map_err(WriteError::before_sync)?;
        }
        Ok(())
    }
}

/// All four names last before anything is promised by what is in the files.
pub(crate) fn create_names<D: Disk>(disk: &mut D) -> io::Result<()> {
    for file in SLOTS.iter().chain(&LOGS) {
        disk.create(file)?;
    }
    disk.sync_names()
}

/// The older slot goes before the newer one, and both before the logs that show that they are gone.
fn erasure_order<D: Disk>(disk: &mut D) -> io::Result<Vec<&'static str>> {
    let mut slots = Vec::new();
    for file in SLOTS {
        let generation = read_slot(&disk.read(file)?).map(|body| body.generation);
        slots.push((generation, file));
    }
    slots.sort_unstable();
    Ok(slots.into_iter().map(|(_, file)| file).chain(LOGS).collect())
}
