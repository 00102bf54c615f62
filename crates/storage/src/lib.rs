#![doc = include_str!("../README.md")]

mod create;
mod disk;
mod error;
mod frame;
mod recover;

pub use create::Reservation;
pub use disk::{Disk, FolderDisk};
pub use error::{WriteError, is_full};
pub use recover::{Opened, open};

use frame::{LogRecord, SlotBody, log_record, slot_bytes};
use postbarrow_consensus::{Entry, HardState, MemberId, RecoveredState, Snapshot, Write};
use std::collections::VecDeque;
use std::sync::Arc;

/// The files of the two slots; generation `n` is in the one at `n % 2`.
pub const SLOTS: [&str; 2] = ["slot-a", "slot-b"];
/// The files of the two logs, each behind the slot of its generation.
pub const LOGS: [&str; 2] = ["log-a", "log-b"];

/// What one member keeps on its disk.
pub struct Storage<D> {
    disk: D,
    id: MemberId,
    generation: u64,
    log_bytes: u64,
    sequence: u64,
    synced: u64,
    /// Writes that were asked for and are not synced yet.
    pending: VecDeque<Write>,
}

impl<D: Disk> Storage<D> {
    fn blank(disk: D, id: MemberId) -> Self {
        let pending = VecDeque::new();
        Storage { disk, id, generation: 0, log_bytes: 0, sequence: 0, synced: 0, pending }
    }

    /// Carries out writes in order and syncs once; on return all of them last. After
    /// `WriteError::Full` the writes are kept for `resume`.
    pub fn apply(&mut self, writes: Vec<Write>) -> Result<(), WriteError> {
        self.pending.extend(writes);
        self.resume()
    }

    /// Goes on with the writes that a full disk stopped; on return all of them last.
    pub fn resume(&mut self) -> Result<(), WriteError> {
        while let Some(first) = self.pending.front() {
            if let Write::Slot { snapshot, hard, entries } = first {
                let (snapshot, hard, entries) = (snapshot.clone(), *hard, entries.clone());
                self.slot(Some(snapshot), hard, entries)?;
                self.pending.pop_front();
            } else {
                self.append()?;
            }
        }
        Ok(())
    }

    /// Writes and syncs all log records before the next slot. What this storage knows of its log
    /// changes after the sync only, so that a refused write is repeated at the same place.
    fn append(&mut self) -> Result<(), WriteError> {
        let mut bytes = Vec::new();
        let mut sequence = self.sequence;
        let mut count = 0;
        for write in &self.pending {
            let record = match write {
                Write::HardState(hard) => LogRecord::Hard(*hard),
                Write::Append(entries) => LogRecord::Append(entries.clone()),
                Write::Truncate { from } => LogRecord::Truncate { from: *from },
                Write::Slot { .. } => break,
            };
            sequence += 1;
            count += 1;
            let record = log_record(self.generation, sequence, self.synced, &record);
            bytes.extend(record.map_err(WriteError::Failed)?);
        }
        let file = LOGS[self.turn()];
        self.disk.write(file, self.log_bytes, &bytes).map_err(WriteError::before_sync)?;
        self.disk.sync(file).map_err(WriteError::Failed)?;
        self.log_bytes += bytes.len() as u64;
        self.sequence = sequence;
        self.synced = sequence;
        self.pending.drain(..count);
        Ok(())
    }

    /// The other pair of files is overwritten, log before slot; the present pair stays as it is.
    /// Nothing is cut, for that would give up the space: bytes of an older generation beyond the
    /// new end are never read, by their generation in a log and by the length in a slot.
    fn slot(
        &mut self,
        snapshot: Option<Arc<Snapshot>>,
        hard: HardState,
        entries: Vec<Entry>,
    ) -> Result<(), WriteError> {
        let generation = self.generation + 1;
        let turn = (generation % 2) as usize;
        let start = LogRecord::Start { entries };
        let bytes = log_record(generation, 1, 0, &start).map_err(WriteError::Failed)?;
        let body = SlotBody { generation, id: self.id, hard, snapshot };
        let slot = slot_bytes(&body).map_err(WriteError::Failed)?;
        self.disk.write(LOGS[turn], 0, &bytes).map_err(WriteError::before_sync)?;
        self.disk.sync(LOGS[turn]).map_err(WriteError::Failed)?;
        self.disk.write(SLOTS[turn], 0, &slot).map_err(WriteError::before_sync)?;
        self.disk.sync(SLOTS[turn]).map_err(WriteError::Failed)?;
        self.generation = generation;
        self.log_bytes = bytes.len() as u64;
        self.sequence = 1;
        self.synced = 1;
        Ok(())
    }

    fn turn(&self) -> usize {
        (self.generation % 2) as usize
    }

    pub fn id(&self) -> MemberId {
        self.id
    }
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }
    pub fn into_disk(self) -> D {
        self.disk
    }
    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }
}

fn recovered(body: &SlotBody) -> RecoveredState {
    RecoveredState {
        term: body.hard.term,
        voted_for: body.hard.voted_for,
        snapshot: body.snapshot.clone(),
        entries: Vec::new(),
    }
}
