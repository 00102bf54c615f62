//! Appends pending writes to the log of the current generation.

use crate::log_record::{LogRecord, encode_record};
use crate::{Disk, LOG_FILES, Storage, WriteError};
use postbarrow_consensus::Write;

impl<D: Disk> Storage<D> {
    /// Writes and syncs the pending log records before the next pending slot. The position in the
    /// log advances only after the sync, so that a write refused by a full disk is repeated at the
    /// same offset.
    pub(crate) fn append_log(&mut self) -> Result<(), WriteError> {
        let mut bytes = Vec::new();
        let mut sequence = self.sequence;
        let mut count = 0;
        for write in &self.pending {
            let record = match write {
                Write::HardState(hard) => LogRecord::HardState(*hard),
                Write::Append(entries) => LogRecord::Append(entries.clone()),
                Write::Truncate { from } => LogRecord::Truncate { from: *from },
                Write::Slot { .. } => break,
            };
            sequence += 1;
            count += 1;
            let record = encode_record(self.generation, sequence, self.synced, &record);
            bytes.extend(record.map_err(WriteError::Failed)?);
        }
        let file = LOG_FILES[self.file_index()];
        self.disk.write(file, self.log_bytes, &bytes).map_err(WriteError::before_sync)?;
        self.disk.sync(file).map_err(WriteError::Failed)?;
        self.log_bytes += bytes.len() as u64;
        self.sequence = sequence;
        self.synced = sequence;
        self.pending.drain(..count);
        Ok(())
    }
}
