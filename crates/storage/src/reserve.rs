//! Allocation of disk space before it is needed.

use crate::{Disk, LOG_FILES, SLOT_FILES, Storage, WriteError};

/// Bytes to allocate for each of the two logs and each of the two slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Bytes to allocate for each log.
    pub log_bytes: u64,
    /// Bytes to allocate for each slot.
    pub slot_bytes: u64,
}

impl<D: Disk> Storage<D> {
    /// Allocates space for both slots and both logs, so that a write within these bounds can't fail
    /// for lack of space.
    ///
    /// # Errors
    ///
    /// After `WriteError::Full` the stored data is unchanged, and the call may be repeated.
    pub fn reserve(&mut self, reservation: Reservation) -> Result<(), WriteError> {
        let logs = LOG_FILES.map(|file| (file, reservation.log_bytes));
        let slots = SLOT_FILES.map(|file| (file, reservation.slot_bytes));
        for (file, bytes) in logs.into_iter().chain(slots) {
            self.disk.reserve(file, bytes).map_err(WriteError::before_sync)?;
        }
        Ok(())
    }
}
