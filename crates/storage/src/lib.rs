#![doc = include_str!("../README.md")]

mod disk;
mod frame;
mod recover;

pub use disk::{Disk, FolderDisk};
pub use recover::{Opened, open};

use frame::{LogRecord, SlotBody, log_record, slot_bytes};
use postbarrow_consensus::{Hard, MemberId, Recovered, Snapshot, Write};
use std::io;
use std::sync::Arc;

pub const SLOTS: [&str; 2] = ["slot-a", "slot-b"];
pub const LOGS: [&str; 2] = ["log-a", "log-b"];

pub struct Storage<D> {
    disk: D,
    id: MemberId,
    generation: u64,
    log_bytes: u64,
    sequence: u64,
    synced: u64,
}

impl<D: Disk> Storage<D> {
    /// A new disk: a new member, with nothing to remember yet.
    pub fn create(mut disk: D, id: MemberId) -> io::Result<Self> {
        for file in SLOTS.iter().chain(&LOGS) {
            disk.truncate(file, 0)?;
        }
        let mut made = Storage { disk, id, generation: 0, log_bytes: 0, sequence: 0, synced: 0 };
        made.slot(None, Hard::default(), Vec::new())?;
        Ok(made)
    }

    /// Carries out writes in order and syncs once; on return all of them last.
    pub fn apply(&mut self, writes: Vec<Write>) -> io::Result<()> {
        let mut bytes = Vec::new();
        for write in writes {
            let record = match write {
                Write::Hard(hard) => LogRecord::Hard(hard),
                Write::Append(entries) => LogRecord::Append(entries),
                Write::Truncate { from } => LogRecord::Truncate { from },
                Write::Slot { snapshot, hard, entries } => {
                    self.flush(&mut bytes)?;
                    self.slot(Some(snapshot), hard, entries)?;
                    continue;
                }
            };
            self.sequence += 1;
            bytes.extend(log_record(self.generation, self.sequence, self.synced, &record)?);
        }
        self.flush(&mut bytes)
    }

    fn flush(&mut self, bytes: &mut Vec<u8>) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let file = LOGS[self.turn()];
        self.disk.write(file, self.log_bytes, bytes)?;
        self.disk.sync(file)?;
        self.log_bytes += bytes.len() as u64;
        self.synced = self.sequence;
        bytes.clear();
        Ok(())
    }

    /// The other pair of files is written whole, log before slot; the present pair stays as it is.
    fn slot(
        &mut self,
        snapshot: Option<Arc<Snapshot>>,
        hard: Hard,
        entries: Vec<postbarrow_consensus::Entry>,
    ) -> io::Result<()> {
        let generation = self.generation + 1;
        let turn = (generation % 2) as usize;
        let start = LogRecord::Start { entries };
        let bytes = log_record(generation, 1, 0, &start)?;
        self.disk.truncate(LOGS[turn], 0)?;
        self.disk.write(LOGS[turn], 0, &bytes)?;
        self.disk.sync(LOGS[turn])?;
        let body = SlotBody { generation, id: self.id, hard, snapshot };
        let slot = slot_bytes(&body)?;
        self.disk.truncate(SLOTS[turn], 0)?;
        self.disk.write(SLOTS[turn], 0, &slot)?;
        self.disk.sync(SLOTS[turn])?;
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

fn recovered(body: &SlotBody) -> Recovered {
    Recovered {
        term: body.hard.term,
        voted: body.hard.voted,
        snapshot: body.snapshot.clone(),
        entries: Vec::new(),
    }
}
