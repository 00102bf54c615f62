//! Writes a snapshot slot and starts the log that follows it.

use crate::log_record::{LogRecord, encode_record};
use crate::slot::{SlotBody, encode_slot};
use crate::{Disk, LOG_FILES, SLOT_FILES, Storage, WriteError, file_index};
use postbarrow_consensus::{Entry, HardState, Snapshot};
use std::sync::Arc;

impl<D: Disk> Storage<D> {
    /// Writes the next generation over the older pair of files, the log before the slot; the
    /// current pair stays intact until the new slot is synced. Files are not truncated, since that
    /// would release reserved space. Bytes of an older generation beyond the new end are never
    /// read: each log record states its generation, and a slot states its length.
    pub(crate) fn write_slot(
        &mut self,
        snapshot: Option<Arc<Snapshot>>,
        hard_state: HardState,
        entries: Vec<Entry>,
    ) -> Result<(), WriteError> {
        let generation = self.generation + 1;
        let index = file_index(generation);
        let start = LogRecord::Start { entries };
        let log = encode_record(generation, 1, 0, &start).map_err(WriteError::Failed)?;
        let body = SlotBody { generation, id: self.id, hard_state, snapshot };
        let slot = encode_slot(&body).map_err(WriteError::Failed)?;
        self.disk.write(LOG_FILES[index], 0, &log).map_err(WriteError::before_sync)?;
        self.disk.sync(LOG_FILES[index]).map_err(WriteError::Failed)?;
        self.disk.write(SLOT_FILES[index], 0, &slot).map_err(WriteError::before_sync)?;
        self.disk.sync(SLOT_FILES[index]).map_err(WriteError::Failed)?;
        self.generation = generation;
        self.log_bytes = log.len() as u64;
        self.sequence = 1;
        self.synced = 1;
        Ok(())
    }
}
