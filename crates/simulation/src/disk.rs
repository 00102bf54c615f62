//! An in-memory disk with unsynced writes and directory entries, power losses and faults.

mod unsynced;

use crate::random::Random;
use postbarrow_storage::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use unsynced::{FileChange, SimFile, apply_file_change};

/// The files of one disk, its faults and its counters.
#[derive(Clone, Default)]
struct Files {
    /// The files by name.
    files: BTreeMap<String, SimFile>,
    /// Number of further operations before the power is lost; `None` if no power loss is scheduled.
    power_loss_after: Option<u64>,
    /// The fault that is active now, if any.
    fault: Option<DiskFault>,
    /// A fault that becomes active after this many further operations, if one is scheduled.
    scheduled_fault: Option<(u64, DiskFault)>,
    /// Number of file syncs so far, including failed ones.
    syncs: u64,
    /// Total bytes of all writes so far.
    written_bytes: u64,
}

/// A fault of a disk, as the process that uses the disk observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// One sync fails. Its writes never become durable, even by a later sync, although reads still
    /// return them.
    SyncFails,
    /// One write fails after the first half of its bytes.
    WriteFails,
    /// Every write beyond the file's reserved bytes fails for lack of space, until the fault is
    /// healed.
    Full,
    /// No write or sync ends until the fault is healed. The disk does not enforce this: its user
    /// has to check `SimDisk::is_stalled` before an operation, and wait.
    Stalls,
}

/// An in-memory disk that outlives the process that uses it; a power loss may drop what was not
/// synced. Clones share the content.
#[derive(Clone, Default)]
pub struct SimDisk(Rc<RefCell<Files>>);

impl SimDisk {
    /// Loses power: each unsynced directory entry, and each of two fragments of each unsynced
    /// write, survives with a probability of one half, independently of the others.
    pub fn lose_power(&self, random: &mut Random) {
        let random = RefCell::new(random);
        let split = |length: usize| random.borrow_mut().below(length as u64 + 1) as usize;
        self.lose(split, |_| random.borrow_mut().chance(500));
    }

    /// Loses power; `keeps` returns, for the index of each unit that `unsynced_units` counts,
    /// whether that unit survives. The two units of a write are its halves.
    pub fn lose_power_keeping(&self, keeps: impl FnMut(usize) -> bool) {
        self.lose(|length| length / 2, keeps);
    }

    /// Loses power; `split` returns the length of a write's first fragment, and `keeps` whether the
    /// unit of an index survives.
    fn lose(&self, mut split: impl FnMut(usize) -> usize, mut keeps: impl FnMut(usize) -> bool) {
        let mut files = self.0.borrow_mut();
        (files.power_loss_after, files.scheduled_fault) = (None, None);
        let mut units = 0;
        let mut survives = || {
            units += 1;
            keeps(units - 1)
        };
        files.files.retain(|_, file| {
            let entry_survives = file.entry_durable || survives();
            for change in std::mem::take(&mut file.unsynced) {
                for fragment in change.fragments(&mut split) {
                    if survives() {
                        apply_file_change(&mut file.durable, &fragment);
                    }
                }
            }
            file.visible = file.durable.clone();
            file.entry_durable = true;
            entry_survives
        });
    }

    /// Returns the number of units that a power loss would now keep or lose independently: one for
    /// each unsynced directory entry, two for each unsynced write, one for each unsynced
    /// truncation.
    pub fn unsynced_units(&self) -> usize {
        let files = self.0.borrow();
        let count = |file: &SimFile| {
            let fragments = file.unsynced.iter().map(FileChange::fragment_count).sum::<usize>();
            usize::from(!file.entry_durable) + fragments
        };
        files.files.values().map(count).sum()
    }

    /// Returns a separate disk with the same content, faults and counters.
    pub fn copy(&self) -> SimDisk {
        SimDisk(Rc::new(RefCell::new(self.0.borrow().clone())))
    }

    /// Returns whether the disk is stalled, so that no write or sync ends now.
    pub fn is_stalled(&self) -> bool {
        self.0.borrow().fault == Some(DiskFault::Stalls)
    }

    /// Replaces the disk by an empty one without faults.
    pub fn wipe(&self) {
        *self.0.borrow_mut() = Files::default();
    }

    /// Schedules a power loss: after this many further operations, every operation fails.
    pub fn set_power_loss_after(&self, operations: u64) {
        self.0.borrow_mut().power_loss_after = Some(operations);
    }

    /// Sets the active fault, or ends it if `None`.
    pub fn set_fault(&self, fault: Option<DiskFault>) {
        self.0.borrow_mut().fault = fault;
    }

    /// Schedules a fault that becomes active after this many further operations.
    pub fn set_fault_after(&self, operations: u64, fault: DiskFault) {
        self.0.borrow_mut().scheduled_fault = Some((operations, fault));
    }

    /// Returns whether this fault is active for an operation. This ends the fault, unless it is a
    /// full disk.
    fn consume_fault(&self, fault: DiskFault) -> bool {
        let mut files = self.0.borrow_mut();
        let is_active = files.fault == Some(fault);
        if is_active && fault != DiskFault::Full {
            files.fault = None;
        }
        is_active
    }

    /// Returns the number of file syncs so far, including failed ones.
    pub fn syncs(&self) -> u64 {
        self.0.borrow().syncs
    }

    /// Returns the total bytes of all writes so far.
    pub fn written_bytes(&self) -> u64 {
        self.0.borrow().written_bytes
    }

    /// Returns the total bytes of all files as they now read, which a starting process reads.
    pub fn total_bytes(&self) -> u64 {
        self.0.borrow().files.values().map(|file| file.visible.len() as u64).sum()
    }

    /// Flips bits of the durable byte at offset `at` of the named file, as a damaged medium does;
    /// does nothing if the file or the byte does not exist. The file's unsynced writes are no
    /// longer visible afterwards.
    pub fn damage(&self, name: &str, at: usize) {
        let mut files = self.0.borrow_mut();
        if let Some(file) = files.files.get_mut(name)
            && at < file.durable.len()
        {
            file.durable[at] ^= 0x55;
            file.visible = file.durable.clone();
        }
    }

    /// Returns the number of durable bytes of the named file; 0 if the file does not exist.
    pub fn length(&self, name: &str) -> usize {
        self.0.borrow().files.get(name).map_or(0, |file| file.durable.len())
    }

    /// Counts one operation toward a scheduled fault or power loss, and fails if the power is lost.
    fn count_operation(&self) -> io::Result<()> {
        let mut files = self.0.borrow_mut();
        match files.scheduled_fault.take() {
            Some((0, fault)) => files.fault = Some(fault),
            Some((remaining, fault)) => files.scheduled_fault = Some((remaining - 1, fault)),
            None => {}
        }
        match &mut files.power_loss_after {
            Some(0) => Err(io::Error::other("the disk has lost power")),
            Some(remaining) => {
                *remaining -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Applies a change to the named file as an operation, with the disk's faults.
    fn change(&self, name: &str, change: FileChange) -> io::Result<()> {
        self.count_operation()?;
        if let FileChange::Write { offset, bytes } = &change
            && *offset + bytes.len() as u64 > self.reserved(name)
            && self.consume_fault(DiskFault::Full)
        {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let change = match change {
            FileChange::Write { offset, bytes } if self.consume_fault(DiskFault::WriteFails) => {
                let fragment = bytes[..bytes.len() / 2].to_vec();
                self.apply_change(name, FileChange::Write { offset, bytes: fragment });
                return Err(io::Error::other("the write failed"));
            }
            change => change,
        };
        self.apply_change(name, change);
        Ok(())
    }

    /// Returns the number of bytes reserved for the named file.
    fn reserved(&self, name: &str) -> u64 {
        self.0.borrow().files.get(name).map_or(0, |file| file.reserved)
    }

    /// Applies a change to the named file, visible at once and durable after a sync.
    fn apply_change(&self, name: &str, change: FileChange) {
        let mut files = self.0.borrow_mut();
        if let FileChange::Write { bytes, .. } = &change {
            files.written_bytes += bytes.len() as u64;
        }
        let file = files.files.entry(name.to_string()).or_default();
        if let FileChange::Truncate { .. } = change {
            file.reserved = 0;
        }
        apply_file_change(&mut file.visible, &change);
        file.unsynced.push(change);
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
        self.0.borrow_mut().files.values_mut().for_each(|file| file.entry_durable = true);
        Ok(())
    }

    fn write(&mut self, file: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.change(file, FileChange::Write { offset, bytes: bytes.to_vec() })
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        self.change(file, FileChange::Truncate { length })
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.count_operation()?;
        let failed = self.consume_fault(DiskFault::SyncFails);
        let mut files = self.0.borrow_mut();
        files.syncs += 1;
        let Some(file) = files.files.get_mut(file) else { return Ok(()) };
        let unsynced = std::mem::take(&mut file.unsynced);
        if failed {
            return Err(io::Error::other("the sync failed"));
        }
        for change in &unsynced {
            apply_file_change(&mut file.durable, change);
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
