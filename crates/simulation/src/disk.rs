//! A disk in memory: its unsynced writes and names, its losses of power, its faults.

mod unsynced;

use crate::random::Random;
use postbarrow_storage::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use unsynced::{Op, SimFile, apply_op};

#[derive(Clone, Default)]
struct Files {
    files: BTreeMap<String, SimFile>,
    /// Operations until the power is lost; `None` without a limit.
    fuse: Option<u64>,
    fault: Option<DiskFault>,
    /// A fault that starts after this many operations.
    scheduled_fault: Option<(u64, DiskFault)>,
    syncs: u64,
    written_bytes: u64,
}

/// A fault of a disk, as the process that uses it meets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// One sync fails. Its writes are no longer due for a sync, though they still read back.
    SyncFails,
    /// One write fails halfway.
    WriteFails,
    /// No write beyond the reserved bytes has space until the fault is healed.
    Full,
    /// No write or sync ends until the fault is healed. The process has to wait: see `is_stalled`.
    Stalls,
}

/// A disk in memory that outlives its process and loses what was not synced.
#[derive(Clone, Default)]
pub struct SimDisk(Rc<RefCell<Files>>);

impl SimDisk {
    /// Loses power: each unsynced name, and each of two fragments of each unsynced write, survives
    /// or is lost independently.
    pub fn lose_power(&self, random: &mut Random) {
        let random = RefCell::new(random);
        let split = |length: usize| random.borrow_mut().below(length as u64 + 1) as usize;
        self.lose(split, |_| random.borrow_mut().chance(500));
    }

    /// Loses power, with `keeps` deciding what survives of the `unsynced` units; a write's
    /// fragments are its halves.
    pub fn lose_power_keeping(&self, keeps: impl FnMut(usize) -> bool) {
        self.lose(|length| length / 2, keeps);
    }

    fn lose(&self, mut split: impl FnMut(usize) -> usize, mut keeps: impl FnMut(usize) -> bool) {
        let mut files = self.0.borrow_mut();
        (files.fuse, files.scheduled_fault) = (None, None);
        let mut next = 0;
        let mut survives = || {
            next += 1;
            keeps(next - 1)
        };
        files.files.retain(|_, file| {
            let named = file.named || survives();
            for op in std::mem::take(&mut file.unsynced) {
                for fragment in op.fragments(&mut split) {
                    if survives() {
                        apply_op(&mut file.durable, &fragment);
                    }
                }
            }
            file.visible = file.durable.clone();
            file.named = true;
            named
        });
    }

    /// How many units a loss of power would now keep or lose independently.
    pub fn unsynced(&self) -> usize {
        let files = self.0.borrow();
        let count = |file: &SimFile| {
            let fragments = file.unsynced.iter().map(Op::count).sum::<usize>();
            usize::from(!file.named) + fragments
        };
        files.files.values().map(count).sum()
    }

    /// A separate disk with the same content.
    pub fn copy(&self) -> SimDisk {
        SimDisk(Rc::new(RefCell::new(self.0.borrow().clone())))
    }

    /// Whether writes and syncs do not end for now.
    pub fn is_stalled(&self) -> bool {
        self.0.borrow().fault == Some(DiskFault::Stalls)
    }

    /// Loses all content: the disk is replaced by an empty one.
    pub fn wipe(&self) {
        *self.0.borrow_mut() = Files::default();
    }

    /// Cuts the power after this many further operations.
    pub fn set_fuse(&self, operations: u64) {
        self.0.borrow_mut().fuse = Some(operations);
    }

    /// Sets the present fault, or none.
    pub fn set_fault(&self, fault: Option<DiskFault>) {
        self.0.borrow_mut().fault = fault;
    }

    /// Sets a fault that starts after this many further operations.
    pub fn set_fault_after(&self, operations: u64, fault: DiskFault) {
        self.0.borrow_mut().scheduled_fault = Some((operations, fault));
    }

    /// Whether this operation meets its fault; every fault but a full disk is consumed by that.
    fn consume_fault(&self, fault: DiskFault) -> bool {
        let mut files = self.0.borrow_mut();
        let matches = files.fault == Some(fault);
        if matches && fault != DiskFault::Full {
            files.fault = None;
        }
        matches
    }

    /// Syncs so far.
    pub fn syncs(&self) -> u64 {
        self.0.borrow().syncs
    }

    /// Bytes of all writes so far.
    pub fn written_bytes(&self) -> u64 {
        self.0.borrow().written_bytes
    }

    /// Bytes of all files, which a start reads.
    pub fn total_bytes(&self) -> u64 {
        self.0.borrow().files.values().map(|file| file.visible.len() as u64).sum()
    }

    /// Flips bits of one durable byte, as a damaged medium does.
    pub fn damage(&self, name: &str, at: usize) {
        let mut files = self.0.borrow_mut();
        if let Some(file) = files.files.get_mut(name)
            && at < file.durable.len()
        {
            file.durable[at] ^= 0x55;
            file.visible = file.durable.clone();
        }
    }

    /// Durable bytes of the named file; 0 if there is none.
    pub fn length(&self, name: &str) -> usize {
        self.0.borrow().files.get(name).map_or(0, |file| file.durable.len())
    }

    fn count_operation(&self) -> io::Result<()> {
        let mut files = self.0.borrow_mut();
        match files.scheduled_fault.take() {
            Some((0, fault)) => files.fault = Some(fault),
            Some((remaining, fault)) => files.scheduled_fault = Some((remaining - 1, fault)),
            None => {}
        }
        match &mut files.fuse {
            Some(0) => Err(io::Error::other("the power is gone")),
            Some(remaining) => {
                *remaining -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn change(&self, name: &str, op: Op) -> io::Result<()> {
        self.count_operation()?;
        if let Op::Write { offset, bytes } = &op
            && *offset + bytes.len() as u64 > self.reserved(name)
            && self.consume_fault(DiskFault::Full)
        {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let op = match op {
            Op::Write { offset, bytes } if self.consume_fault(DiskFault::WriteFails) => {
                let fragment = bytes[..bytes.len() / 2].to_vec();
                self.apply_change(name, Op::Write { offset, bytes: fragment });
                return Err(io::Error::other("the write failed"));
            }
            op => op,
        };
        self.apply_change(name, op);
        Ok(())
    }

    fn reserved(&self, name: &str) -> u64 {
        self.0.borrow().files.get(name).map_or(0, |file| file.reserved)
    }

    fn apply_change(&self, name: &str, op: Op) {
        let mut files = self.0.borrow_mut();
        if let Op::Write { bytes, .. } = &op {
            files.written_bytes += bytes.len() as u64;
        }
        let file = files.files.entry(name.to_string()).or_default();
        if let Op::Truncate { .. } = op {
            file.reserved = 0;
        }
        apply_op(&mut file.visible, &op);
        file.unsynced.push(op);
    }
}

impl Disk for SimDisk {
    fn read(&mut self, file: &str) -> io::Result<Vec<u8>> {
        Ok(self.0.borrow().files.get(file).map_or_else(Vec::new, |file| file.visible.clone()))
    }

    fn create(&mut self, file: &str) -> io::Result<()> {
        self.count_operation()?;
        self.0.borrow_mut().files.entry(file.to_string()).or_default();
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.count_operation()?;
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
        self.count_operation()?;
        let failed = self.consume_fault(DiskFault::SyncFails);
        let mut files = self.0.borrow_mut();
        files.syncs += 1;
        let Some(file) = files.files.get_mut(file) else { return Ok(()) };
        let due = std::mem::take(&mut file.unsynced);
        if failed {
            return Err(io::Error::other("the sync failed"));
        }
        for op in &due {
            apply_op(&mut file.durable, op);
        }
        Ok(())
    }

    fn reserve(&mut self, file: &str, bytes: u64) -> io::Result<()> {
        self.count_operation()?;
        if self.reserved(file) < bytes && self.consume_fault(DiskFault::Full) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if let Some(file) = self.0.borrow_mut().files.get_mut(file) {
            file.reserved = file.reserved.max(bytes);
        }
        Ok(())
    }
}
