//! A full disk: reserved space, writes that are repeated, and failed syncs, which are not.

use postbarrow_consensus::{Entry, HardState, Member, Payload, RecoveredState, Snapshot, Write};
use postbarrow_simulation::{DiskFault, Random, SimDisk};
use postbarrow_storage::*;
use std::cell::Cell;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;

const MEMBER: u64 = 9;
/// `st_blocks` counts in these, whatever a file system's own block is.
const STAT_BLOCK_BYTES: u64 = 512;

fn append(index: u64) -> Write {
    let payload = Payload::Batch(vec![index as u8; 40]);
    Write::Append(vec![Entry { term: 1, index, payload }])
}

fn slot(index: u64) -> Write {
    let members = vec![Member { id: MEMBER, address: "10.0.0.1:1".parse().unwrap() }];
    let snapshot = Arc::new(Snapshot { index, term: 1, members, state: vec![7; 300] });
    Write::Slot { snapshot, hard: HardState { term: 1, voted_for: Some(1) }, entries: Vec::new() }
}

/// One group with two slots among log records: each file is written.
fn group() -> Vec<Write> {
    vec![append(1), slot(1), append(2), append(3), slot(3), append(4)]
}

fn reopen(disk: &SimDisk) -> (Storage<SimDisk>, RecoveredState) {
    match open(disk.clone()).unwrap() {
        Opened::Recovered { storage, recovered } => (storage, recovered),
        Opened::Empty(_) => panic!("the disk is empty"),
        Opened::Damaged { damage, .. } => panic!("{damage}"),
    }
}

fn last(found: &RecoveredState) -> u64 {
    let snapshot_index = found.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    found.entries.last().map_or(snapshot_index, |entry| entry.index)
}

#[test]
fn full_disk_at_any_operation_suspends_writes_until_space_is_free() {
    let mut stopped = 0;
    for operations in 0.. {
        let disk = SimDisk::default();
        let mut storage = Storage::create(disk.clone(), MEMBER).unwrap();
        disk.set_fault_after(operations, DiskFault::Full);
        match storage.apply(group()) {
            Ok(()) => break,
            Err(WriteError::Failed(error)) => panic!("operation {operations}: {error}"),
            Err(WriteError::Full(_)) => stopped += 1,
        }
        let again = storage.resume();
        assert!(matches!(again, Err(WriteError::Full(_))), "operation {operations}: {again:?}");
        disk.set_fault(None);
        storage.resume().unwrap();
        storage.apply(vec![append(5)]).unwrap();
        disk.lose_power(&mut Random::new(operations));
        let (_, found) = reopen(&disk);
        let indexes: Vec<u64> = found.entries.iter().map(|entry| entry.index).collect();
        assert_eq!((indexes, last(&found)), (vec![4, 5], 5), "operation {operations}");
    }
    assert!(stopped > 10, "{stopped} operations met a full disk");
}

#[test]
fn open_on_a_full_disk_fails_as_full_and_succeeds_once_space_is_free() {
    let disk = SimDisk::default();
    let mut storage = Storage::create(disk.clone(), MEMBER).unwrap();
    storage.apply(vec![append(1)]).unwrap();
    disk.set_fault(Some(DiskFault::Full));
    let Err(error) = open(disk.clone()) else { panic!("a full disk was not reported") };
    assert!(is_full(&error), "{error}");
    disk.set_fault(None);
    assert_eq!(last(&reopen(&disk).1), 1);
}

#[test]
fn writes_within_reserved_space_succeed_on_a_full_disk() {
    let disk = SimDisk::default();
    let mut storage = Storage::create(disk.clone(), MEMBER).unwrap();
    storage.reserve(Reservation { log_bytes: 4_096, slot_bytes: 4_096 }).unwrap();
    disk.set_fault(Some(DiskFault::Full));
    for _ in 0..5 {
        storage.apply(group()).unwrap();
    }
    drop(storage);
    let (mut storage, found) = reopen(&disk);
    assert_eq!(last(&found), 4);
    storage.apply(group()).unwrap();
}

#[test]
fn reservation_refused_by_a_full_disk_succeeds_when_repeated() {
    let disk = SimDisk::default();
    let mut storage = Storage::create(disk.clone(), MEMBER).unwrap();
    disk.set_fault(Some(DiskFault::Full));
    let reservation = Reservation { log_bytes: 4_096, slot_bytes: 4_096 };
    assert!(matches!(storage.reserve(reservation), Err(WriteError::Full(_))));
    disk.set_fault(None);
    storage.reserve(reservation).unwrap();
    storage.apply(group()).unwrap();
}

/// A disk whose syncs fail for want of space, as some file systems do.
struct LateRefusal {
    disk: SimDisk,
    refuses: Rc<Cell<bool>>,
}

impl Disk for LateRefusal {
    fn read(&mut self, file: &str) -> io::Result<Vec<u8>> {
        self.disk.read(file)
    }
    fn create(&mut self, file: &str) -> io::Result<()> {
        self.disk.create(file)
    }
    fn sync_names(&mut self) -> io::Result<()> {
        self.disk.sync_names()
    }
    fn write(&mut self, file: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.disk.write(file, offset, bytes)
    }
    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        self.disk.truncate(file, length)
    }
    fn sync(&mut self, file: &str) -> io::Result<()> {
        if self.refuses.get() {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            self.disk.sync(file)
        }
    }
    fn reserve(&mut self, file: &str, bytes: u64) -> io::Result<()> {
        self.disk.reserve(file, bytes)
    }
}

#[test]
fn sync_refused_for_lack_of_space_is_a_failed_disk() {
    for write in [append(1), slot(1)] {
        let refuses = Rc::new(Cell::new(false));
        let disk = LateRefusal { disk: SimDisk::default(), refuses: refuses.clone() };
        let mut storage = Storage::create(disk, MEMBER).unwrap();
        storage.apply(vec![append(1)]).unwrap();
        refuses.set(true);
        let outcome = storage.apply(vec![write]);
        assert!(matches!(outcome, Err(WriteError::Failed(_))), "{outcome:?}");
    }
}

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

#[test]
fn folder_disk_allocates_and_retains_reserved_blocks() {
    let folder = folder("reserved-blocks");
    let disk = FolderDisk::new(folder.clone()).unwrap();
    let mut storage = Storage::create(disk, MEMBER).unwrap();
    let reservation = Reservation { log_bytes: 1 << 20, slot_bytes: 1 << 19 };
    storage.reserve(reservation).unwrap();
    for group_number in 0..4 {
        for file in LOGS.iter().chain(&SLOTS) {
            let min_bytes =
                if LOGS.contains(file) { reservation.log_bytes } else { reservation.slot_bytes };
            let metadata = std::fs::metadata(folder.join(file)).unwrap();
            let allocated = metadata.blocks() * STAT_BLOCK_BYTES;
            assert!(
                allocated >= min_bytes,
                "group {group_number}: {file} has {allocated} of {min_bytes} bytes"
            );
            assert!(metadata.len() < 4_096, "group {group_number}: {file} got longer");
        }
        storage.apply(group()).unwrap();
    }
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn folder_disk_creates_missing_parent_folders() {
    let top = folder("levels");
    let inner = top.join("one/two");
    drop(Storage::create(FolderDisk::new(inner.clone()).unwrap(), MEMBER).unwrap());
    let opened = open(FolderDisk::new(inner).unwrap()).unwrap();
    assert!(matches!(opened, Opened::Recovered { .. }));
    std::fs::remove_dir_all(top).unwrap();
}
