//! A disk in memory: its unsynced writes and names, its losses of power, its troubles.

mod unsynced;

use crate::random::Random;
use postbarrow_storage::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use unsynced::{Op, SimFile, carry_out};

#[derive(Clone, Default)]
struct Files {
    files: BTreeMap<String, SimFile>,
    /// Operations left before the power goes; None for plenty.
    fuse: Option<u64>,
    trouble: Option<DiskTrouble>,
    /// A trouble that begins after so many operations.
    trouble_due: Option<(u64, DiskTrouble)>,
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
    /// No write beyond what was reserved has space until this is healed.
    Full,
    /// No write or sync ends until this is healed. It is the process that waits: see `is_stalled`.
    Stalls,
}

/// A disk in memory that outlives its process and loses what was not synced.
#[derive(Clone, Default)]
pub struct SimDisk(Rc<RefCell<Files>>);

impl SimDisk {
    /// The power goes: each unsynced name, and each of two parts of each unsynced write, is kept or
    /// lost by itself.
    pub fn lose_power(&self, random: &mut Random) {
        let random = RefCell::new(random);
        let split = |length: usize| random.borrow_mut().below(length as u64 + 1) as usize;
        self.lose(split, |_| random.borrow_mut().chance(500));
    }

    /// The same, with a say in each of the `unsynced` things; a write's parts are its halves.
    pub fn lose_power_keeping(&self, keeps: impl FnMut(usize) -> bool) {
        self.lose(|length| length / 2, keeps);
    }

    fn lose(&self, mut split: impl FnMut(usize) -> usize, mut keeps: impl FnMut(usize) -> bool) {
        let mut files = self.0.borrow_mut();
        (files.fuse, files.trouble_due) = (None, None);
        let mut next = 0;
        let mut kept = || {
            next += 1;
            keeps(next - 1)
        };
        files.files.retain(|_, file| {
            let named = file.named || kept();
            for op in std::mem::take(&mut file.unsynced) {
                for part in op.parts(&mut split) {
                    if kept() {
                        carry_out(&mut file.durable, &part);
                    }
                }
            }
            file.seen = file.durable.clone();
            file.named = true;
            named
        });
    }

    /// How many things a loss of power would now keep or lose, each by itself.
    pub fn unsynced(&self) -> usize {
        let files = self.0.borrow();
        let count = |file: &SimFile| {
            let parts = file.unsynced.iter().map(Op::count).sum::<usize>();
            usize::from(!file.named) + parts
        };
        files.files.values().map(count).sum()
    }

    /// A disk of its own with the same content.
    pub fn copy(&self) -> SimDisk {
        SimDisk(Rc::new(RefCell::new(self.0.borrow().clone())))
    }

    pub fn is_stalled(&self) -> bool {
        self.0.borrow().trouble == Some(DiskTrouble::Stalls)
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

    pub fn set_trouble_after(&self, operations: u64, trouble: DiskTrouble) {
        self.0.borrow_mut().trouble_due = Some((operations, trouble));
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
        match files.trouble_due.take() {
            Some((0, trouble)) => files.trouble = Some(trouble),
            Some((left, trouble)) => files.trouble_due = Some((left - 1, trouble)),
            None => {}
        }
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
        if let Op::Write { offset, bytes } = &op
            && *offset + bytes.len() as u64 > self.reserved(name)
            && self.meets(DiskTrouble::Full)
        {
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

    fn reserved(&self, name: &str) -> u64 {
        self.0.borrow().files.get(name).map_or(0, |file| file.reserved)
    }

    fn carry(&self, name: &str, op: Op) {
        let mut files = self.0.borrow_mut();
        if let Op::Write { bytes, .. } = &op {
            files.written_bytes += bytes.len() as u64;
        }
        let file = files.files.entry(name.to_string()).or_default();
        if let Op::Truncate { .. } = op {
            file.reserved = 0;
        }
        carry_out(&mut file.seen, &op);
        file.unsynced.push(op);
    }
}

impl Disk for SimDisk {
    fn read(&mut self, file: &str) -> io::Result<Vec<u8>> {
        Ok(self.0.borrow().files.get(file).map_or_else(Vec::new, |file| file.seen.clone()))
    }

    fn create(&mut self, file: &str) -> io::Result<()> {
        self.burn()?;
        self.0.borrow_mut().files.entry(file.to_string()).or_default();
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.burn()?;
        self.0.borrow_mut().files.values_mut().for_each(|file| file.named = true);
        Ok(())
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

    fn reserve(&mut self, file: &str, bytes: u64) -> io::Result<()> {
        self.burn()?;
        if self.reserved(file) < bytes && self.meets(DiskTrouble::Full) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if let Some(file) = self.0.borrow_mut().files.get_mut(file) {
            file.reserved = file.reserved.max(bytes);
        }
        Ok(())
    }
}
