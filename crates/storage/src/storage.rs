//! The storage of one member: its pending writes, and the position of the next one.

use crate::{Disk, WriteError, file_index};
use postbarrow_consensus::{MemberId, Write};
use std::collections::VecDeque;

/// One member's stable storage on a disk.
pub struct Storage<D> {
    pub(crate) disk: D,
    pub(crate) id: MemberId,
    /// The generation of the newest slot and of the log that follows it.
    pub(crate) generation: u64,
    /// Length of the records in that log, in bytes; 0 before the first slot is written.
    pub(crate) log_bytes: u64,
    /// Number of the newest record in that log, from 1; 0 before the first slot is written.
    pub(crate) sequence: u64,
    /// Number of the newest record in that log that is known to be synced.
    pub(crate) synced: u64,
    /// Requested writes that are not synced yet.
    pub(crate) pending: VecDeque<Write>,
}

impl<D: Disk> Storage<D> {
    /// Returns the storage of a member before its first slot is written.
    pub(crate) fn uninitialized(disk: D, id: MemberId) -> Self {
        let pending = VecDeque::new();
        Storage { disk, id, generation: 0, log_bytes: 0, sequence: 0, synced: 0, pending }
    }

    /// Performs writes in order, with one sync for each run of consecutive log records; on return
    /// all of them are durable.
    ///
    /// # Errors
    ///
    /// After `WriteError::Full` the writes stay pending for `resume`; after `WriteError::Failed`
    /// this storage must not be used any more.
    pub fn apply(&mut self, writes: Vec<Write>) -> Result<(), WriteError> {
        self.pending.extend(writes);
        self.resume()
    }

    /// Performs the writes that stayed pending on a full disk; on return all of them are durable.
    ///
    /// # Errors
    ///
    /// The same as those of `apply`.
    pub fn resume(&mut self) -> Result<(), WriteError> {
        while let Some(first) = self.pending.front() {
            if let Write::Slot { snapshot, hard, entries } = first {
                let (snapshot, hard, entries) = (snapshot.clone(), *hard, entries.clone());
                self.write_slot(Some(snapshot), hard, entries)?;
                self.pending.pop_front();
            } else {
                self.append_log()?;
            }
        }
        Ok(())
    }

    pub(crate) fn file_index(&self) -> usize {
        file_index(self.generation)
    }

    /// Returns the id of the member that this disk belongs to.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns the length of the records in the current generation's log, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Returns the disk; pending writes are dropped.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// Returns the disk, for operations of the owner that are not part of the storage.
    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }
}
