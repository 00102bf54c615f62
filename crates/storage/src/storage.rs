//! The storage of one member: which writes are pending, and the position of the next one.

use crate::{Disk, WriteError, file_index};
use postbarrow_consensus::{MemberId, Write};
use std::collections::VecDeque;

/// One member's stable storage on a disk.
pub struct Storage<D> {
    pub(crate) disk: D,
    pub(crate) id: MemberId,
    /// The generation of the newest slot and of the log that follows it.
    pub(crate) generation: u64,
    /// Length of that log's intact records.
    pub(crate) log_bytes: u64,
    /// Number of the newest record in that log, from 1.
    pub(crate) sequence: u64,
    /// The newest record that is known to be synced.
    pub(crate) synced: u64,
    /// Requested writes that are not synced yet.
    pub(crate) pending: VecDeque<Write>,
}

impl<D: Disk> Storage<D> {
    pub(crate) fn unwritten(disk: D, id: MemberId) -> Self {
        let pending = VecDeque::new();
        Storage { disk, id, generation: 0, log_bytes: 0, sequence: 0, synced: 0, pending }
    }

    /// Carries out writes in order and syncs each run of log records once; on return all of them
    /// are durable.
    ///
    /// # Errors
    ///
    /// After `WriteError::Full` the writes stay pending for `resume`; after `WriteError::Failed`
    /// this storage may not be used any more.
    pub fn apply(&mut self, writes: Vec<Write>) -> Result<(), WriteError> {
        self.pending.extend(writes);
        self.resume()
    }

    /// Continues with the writes that a full disk stopped; on return all of them are durable.
    ///
    /// # Errors
    ///
    /// As `apply`.
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

    /// The member that this disk belongs to.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Bytes of the present log's records.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Gives the disk back; pending writes are dropped.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// The disk, for its owner's own operations on it.
    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }
}
