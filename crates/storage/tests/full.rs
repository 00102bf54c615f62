//! Writes to a full disk: those within reserved space succeed, refused ones are repeated, and
//! failed syncs are not.

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
/// Bytes of the blocks that `st_blocks` counts, whatever the block size of the file system.
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

/// A group of log records and two slots, which together write every file.
fn group() -> Vec<Write> {
    vec![append(1), slot(1), append(2), append(3), slot(3), append(4)]
}

fn reopen(disk: &SimDisk) -> (Storage<SimDisk>, RecoveredState) {
    match open(disk.clone()).unwrap() {
        OpenResult::Recovered { storage, recovered } => (storage, recovered),
        OpenResult::Empty(_) => panic!("the disk is empty"),
        OpenResult::Damaged { damage, .. } => panic!("the disk is damaged: {damage}"),
    }
}

fn last_index(recovered_state: &RecoveredState) -> u64 {
    let snapshot_index = recovered_state.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    recovered_state.entries.last().map_or(snapshot_index, |entry| entry.index)
}

#[test]
fn full_disk_at_any_operation_suspends_writes_until_space_is_free() {
    let mut full_count = 0;
    for operations in 0.. {
        let disk = SimDisk::default();
        let mut storage = Storage::create(disk.clone(), MEMBER).unwrap();
        disk.set_fault_after(operations, DiskFault::Full);
        match storage.apply(group()) {
            Ok(()) => break,
            Err(WriteError::Failed(error)) => panic!("operation {operations} failed: {error}"),
            Err(WriteError::Full(_)) => full_count += 1,
        }
        let repeated = storage.resume();
        assert!(
            matches!(repeated, Err(WriteError::Full(_))),
            "operation {operations}: the repeated write returned {repeated:?}"
        );
        disk.set_fault(None);
        storage.resume().unwrap();
        storage.apply(vec![append(5)]).unwrap();
        disk.lose_power(&mut Random::new(operations));
        let (_, recovered_state) = reopen(&disk);
        let indexes: Vec<u64> = recovered_state.entries.iter().map(|entry| entry.index).collect();
        assert_eq!(
            (indexes, last_index(&recovered_state)),
            (vec![4, 5], 5),
            "operation {operations}: indexes recovered after the loss of power"
        );
    }
    assert!(full_count > 10, "only {full_count} operations met a full disk");
}

#[test]
fn open_on_a_full_disk_fails_as_full_and_succeeds_once_space_is_free() {
    let disk = SimDisk::default();
    let mut storage = Storage::create(disk.clone(), MEMBER).unwrap();
    storage.apply(vec![append(1)]).unwrap();
    disk.set_fault(Some(DiskFault::Full));
    let Err(error) = open(disk.clone()) else { panic!("a full disk was not reported") };
    assert!(is_out_of_space(&error), "the error of open is not that of a full disk: {error}");
    disk.set_fault(None);
    assert_eq!(last_index(&reopen(&disk).1), 1);
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
    let (mut storage, recovered_state) = reopen(&disk);
    assert_eq!(last_index(&recovered_state), 4);
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

/// A disk whose syncs fail for lack of space, as those of some file systems do.
struct FullOnSyncDisk {
    disk: SimDisk,
    is_sync_refused: Rc<Cell<bool>>,
}

impl Disk for FullOnSyncDisk {
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
        if self.is_sync_refused.get() {
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
        let is_sync_refused = Rc::new(Cell::new(false));
        let disk =
            FullOnSyncDisk { disk: SimDisk::default(), is_sync_refused: is_sync_refused.clone() };
        let mut storage = Storage::create(disk, MEMBER).unwrap();
        storage.apply(vec![append(1)]).unwrap();
        is_sync_refused.set(true);
        let outcome = storage.apply(vec![write]);
        assert!(
            matches!(outcome, Err(WriteError::Failed(_))),
            "the refused sync returned {outcome:?}"
        );
    }
}

fn unused_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

#[test]
fn folder_disk_allocates_and_retains_reserved_blocks() {
    let folder = unused_folder("reserved-blocks");
    let disk = FolderDisk::new(folder.clone()).unwrap();
    let mut storage = Storage::create(disk, MEMBER).unwrap();
    let reservation = Reservation { log_bytes: 1 << 20, slot_bytes: 1 << 19 };
    storage.reserve(reservation).unwrap();
    for group_number in 0..4 {
        for file in LOG_FILES.iter().chain(&SLOT_FILES) {
            let min_bytes = if LOG_FILES.contains(file) {
                reservation.log_bytes
            } else {
                reservation.slot_bytes
            };
            let metadata = std::fs::metadata(folder.join(file)).unwrap();
            let allocated = metadata.blocks() * STAT_BLOCK_BYTES;
            assert!(
                allocated >= min_bytes,
                "group {group_number}: {file} has {allocated} of {min_bytes} bytes"
            );
            assert!(metadata.len() < 4_096, "group {group_number}: the length of {file} has grown");
        }
        storage.apply(group()).unwrap();
    }
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn folder_disk_creates_missing_parent_folders() {
    let top = unused_folder("levels");
    let inner = top.join("one/two");
    drop(Storage::create(FolderDisk::new(inner.clone()).unwrap(), MEMBER).unwrap());
    let opened = open(FolderDisk::new(inner).unwrap()).unwrap();
    assert!(matches!(opened, OpenResult::Recovered { .. }));
    std::fs::remove_dir_all(top).unwrap();
}
