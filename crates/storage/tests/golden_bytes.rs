//! The bytes of a data folder: both slots and both logs.
//!
//! A slot is a magic, a length, a checksum and a body; a log is a sequence of records, each with the
//! same before its body. Bodies are MessagePack, as `rmp_serde::to_vec` writes it: structs are
//! arrays, so their fields are stored by position, while variants of enums are stored by name. A
//! variant that is renamed needs `#[serde(rename)]` with its stored name. Both logs together contain
//! every variant of a log record and, within the entries, every payload.

#[path = "../../consensus/tests/golden/values.rs"]
mod consensus_values;
#[path = "../../state/tests/golden/mod.rs"]
mod golden;

use consensus_values::{entries, hard, snapshot};
use golden::{fixture_path, to_hex, writes_fixtures};
use postbarrow_consensus::{Entry, RecoveredState, Write};
use postbarrow_storage::{Disk, FolderDisk, LOGS, Opened, SLOTS, Storage, open};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Once};

const CRATE: &str = env!("CARGO_MANIFEST_DIR");
const MEMBER: u64 = 0x0123_4567_89ab_cdef;

/// The committed folder; written before the first test looks, if fixtures are to be written.
fn fixture() -> PathBuf {
    static WRITTEN: Once = Once::new();
    let folder = fixture_path(CRATE, "folder");
    if writes_fixtures() {
        WRITTEN.call_once(|| {
            let _ = std::fs::remove_dir_all(&folder);
            write_folder(&folder);
        });
    }
    folder
}

fn files() -> impl Iterator<Item = &'static str> {
    SLOTS.into_iter().chain(LOGS)
}

fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// A folder with these files of the fixture.
fn copy_of_fixture(name: &str, files: impl IntoIterator<Item = &'static str>) -> PathBuf {
    let folder = empty_folder(name);
    for file in files {
        std::fs::copy(fixture().join(file), folder.join(file)).expect("the fixture is committed");
    }
    folder
}

/// What follows a slot: a hard state, entries of which the last are truncated, and a hard state.
fn log_writes(first: u64, term: u64) -> Vec<Write> {
    let (retained_end, truncated) = (first + 2, entries(first + 3));
    vec![
        Write::HardState(hard(term)),
        Write::Append(entries(first)),
        Write::Append(truncated),
        Write::Truncate { from: retained_end },
        Write::HardState(hard(term + 1)),
    ]
}

/// Two generations: a new member's, and the one that its first snapshot begins.
fn write_folder(folder: &Path) {
    let disk = FolderDisk::new(folder.to_path_buf()).expect("a folder");
    let mut storage = Storage::create(disk, MEMBER).expect("it is new");
    storage.apply(log_writes(1, 2)).expect("it is written");
    let slot = Write::Slot { snapshot: Arc::new(snapshot()), hard: hard(4), entries: entries(41) };
    storage.apply(vec![slot]).expect("it is written");
    storage.apply(log_writes(44, 5)).expect("it is written");
}

fn open_intact(folder: &Path) -> (Storage<FolderDisk>, RecoveredState) {
    match open(FolderDisk::new(folder.to_path_buf()).expect("a folder")).expect("it is read") {
        Opened::Recovered { storage, recovered } => (storage, recovered),
        Opened::Damaged { damage, .. } => panic!("damaged: {damage}"),
        Opened::Empty(_) => panic!("no slot was read"),
    }
}

fn assert_same_files(folder: &Path, files: impl IntoIterator<Item = &'static str>) {
    for file in files {
        let read = |folder: &Path| std::fs::read(folder.join(file)).expect("the file is there");
        assert_eq!(to_hex(&read(folder)), to_hex(&read(&fixture())), "{file}");
    }
}

#[test]
fn folder_written_today_has_the_committed_bytes() {
    let folder = empty_folder("golden-written");
    write_folder(&folder);
    assert_same_files(&folder, files());
}

#[test]
fn newer_slot_and_its_log_are_recovered() {
    let folder = copy_of_fixture("golden-newer", files());
    let (storage, recovered) = open_intact(&folder);
    assert_eq!(storage.id(), MEMBER);
    assert_eq!((recovered.term, recovered.voted_for), (hard(6).term, hard(6).voted_for));
    assert_eq!(recovered.snapshot.as_deref(), Some(&snapshot()));
    let retained = entries(44).into_iter().take(2);
    assert_eq!(recovered.entries, entries(41).into_iter().chain(retained).collect::<Vec<Entry>>());
    assert_same_files(&folder, files());
}

#[test]
fn older_slot_and_its_log_are_recovered_without_the_newer() {
    let older = [SLOTS[1], LOGS[1]];
    let folder = copy_of_fixture("golden-older", older);
    let (storage, recovered) = open_intact(&folder);
    assert_eq!(storage.id(), MEMBER);
    assert_eq!((recovered.term, recovered.voted_for), (hard(3).term, hard(3).voted_for));
    assert_eq!(recovered.snapshot, None);
    assert_eq!(recovered.entries, entries(1).into_iter().take(2).collect::<Vec<Entry>>());
    assert_same_files(&folder, older);
}

/// What a storage writes to a committed folder follows what is there.
#[test]
fn writes_to_a_committed_folder_follow_its_log() {
    let folder = copy_of_fixture("golden-written-on", files());
    let (mut storage, before) = open_intact(&folder);
    storage.apply(vec![Write::Append(entries(46))]).expect("it is written");
    let mut disk = storage.into_disk();
    let log = disk.read(LOGS[0]).expect("it is read");
    assert!(log.starts_with(&std::fs::read(fixture().join(LOGS[0])).expect("the fixture")));
    let (_, after) = open_intact(&folder);
    assert_eq!(after.entries, before.entries.into_iter().chain(entries(46)).collect::<Vec<_>>());
}
