use crate::random::Random;
use postbarrow_storage::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

#[derive(Clone)]
enum Op {
    Write { offset: u64, bytes: Vec<u8> },
    Truncate { length: u64 },
}

#[derive(Clone, Default)]
struct SimFile {
    durable: Vec<u8>,
    seen: Vec<u8>,
    unsynced: Vec<Op>,
}

#[derive(Default)]
struct Files {
    files: BTreeMap<String, SimFile>,
    /// Operations left before the power goes; None for plenty.
    fuse: Option<u64>,
    trouble: Option<DiskTrouble>,
    syncs: u64,
    written_bytes: u64,
}

/// What a disk does to the process that uses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskTrouble {
    /// One sync fails. What it should have kept is forgotten as due, though it still reads back.
    SyncFails,
    /// One write fails halfway.
    WriteFails,
    /// No write has space until this is healed.
    Full,
}

/// A disk in memory that outlives its process and loses what was not synced.
#[derive(Clone, Default)]
pub struct SimDisk(Rc<RefCell<Files>>);

fn carry_out(into: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Write { offset, bytes } => {
            let end = *offset as usize + bytes.len();
            if into.len() < end {
                into.resize(end, 0);
            }
            into[*offset as usize..end].copy_from_slice(bytes);
        }
        Op::Truncate { length } => into.resize(*length as usize, 0),
    }
}

impl SimDisk {
    /// The power goes: of each file's unsynced operations a prefix lasts, the next one in part.
    pub fn lose_power(&self, random: &mut Random) {
        let mut files = self.0.borrow_mut();
        files.fuse = None;
        for file in files.files.values_mut() {
            let kept = random.below(file.unsynced.len() as u64 + 1) as usize;
            let unsynced = std::mem::take(&mut file.unsynced);
            for (at, op) in unsynced.iter().enumerate() {
                if at < kept {
                    carry_out(&mut file.durable, op);
                } else if at == kept
                    && let Op::Write { offset, bytes } = op
                {
                    let part = random.below(bytes.len() as u64 + 1) as usize;
                    let torn = Op::Write { offset: *offset, bytes: bytes[..part].to_vec() };
                    carry_out(&mut file.durable, &torn);
                }
            }
            file.seen = file.durable.clone();
        }
    }

    /// The disk itself is lost.
    pub fn wipe(&self) {
        *self.0.borrow_mut() = Files::default();
    }

    pub fn set_fuse(&self, operations: u64) {
        self.0.borrow_mut().fuse = Some(operations);
    }

    pub fn set_trouble(&self, trouble: Option<DiskTrouble>) {
        self.0.borrow_mut().trouble = trouble;
    }

    /// Whether this operation meets its trouble; all but a full disk pass.
    fn meets(&self, trouble: DiskTrouble) -> bool {
        let mut files = self.0.borrow_mut();
        let met = files.trouble == Some(trouble);
        if met && trouble != DiskTrouble::Full {
            files.trouble = None;
        }
        met
    }

    pub fn syncs(&self) -> u64 {
        self.0.borrow().syncs
    }

    /// Bytes of all writes so far.
    pub fn written_bytes(&self) -> u64 {
        self.0.borrow().written_bytes
    }

    /// Bytes of all its files: what a start reads.
    pub fn total_bytes(&self) -> u64 {
        self.0.borrow().files.values().map(|file| file.seen.len() as u64).sum()
    }

    /// Changes synced bytes behind the storage's back.
    pub fn damage(&self, name: &str, at: usize) {
        let mut files = self.0.borrow_mut();
        if let Some(file) = files.files.get_mut(name)
            && at < file.durable.len()
        {
            file.durable[at] ^= 0x55;
            file.seen = file.durable.clone();
        }
    }

    pub fn length(&self, name: &str) -> usize {
        self.0.borrow().files.get(name).map_or(0, |file| file.durable.len())
    }

    fn burn(&self) -> io::Result<()> {
        let mut files = self.0.borrow_mut();
        match &mut files.fuse {
            Some(0) => Err(io::Error::other("the power is gone")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn change(&self, name: &str, op: Op) -> io::Result<()> {
        self.burn()?;
        if self.meets(DiskTrouble::Full) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let op = match op {
            Op::Write { offset, bytes } if self.meets(DiskTrouble::WriteFails) => {
                let part = bytes[..bytes.len() / 2].to_vec();
                self.carry(name, Op::Write { offset, bytes: part });
                return Err(io::Error::other("the write failed"));
            }
            op => op,
        };
        self.carry(name, op);
        Ok(())
    }

    fn carry(&self, name: &str, op: Op) {
        let mut files = self.0.borrow_mut();
        if let Op::Write { bytes, .. } = &op {
            files.written_bytes += bytes.len() as u64;
        }
        let file = files.files.entry(name.to_string()).or_default();
        carry_out(&mut file.seen, &op);
        file.unsynced.push(op);
    }
}

impl Disk for SimDisk {
    fn read(&mut self, file: &str) -> io::Result<Vec<u8>> {
        Ok(self.0.borrow().files.get(file).map_or_else(Vec::new, |file| file.seen.clone()))
    }

    fn write(&mut self, file: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.change(file, Op::Write { offset, bytes: bytes.to_vec() })
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        self.change(file, Op::Truncate { length })
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.burn()?;
        let failed = self.meets(DiskTrouble::SyncFails);
        let mut files = self.0.borrow_mut();
        files.syncs += 1;
        let Some(file) = files.files.get_mut(file) else { return Ok(()) };
        let due = std::mem::take(&mut file.unsynced);
        if failed {
            return Err(io::Error::other("the sync failed"));
        }
        for op in &due {
            carry_out(&mut file.durable, op);
        }
        Ok(())
    }
}
