//! Compares the bytes of a data folder, both slots and both logs, with a committed fixture.
//!
//! A slot is a magic, a length, a checksum and a body; a log is a sequence of records, each of
//! which is also a magic, a length, a checksum and a body. Bodies are MessagePack, as
//! `rmp_serde::to_vec` writes it: structs are arrays, so their fields are stored by position, while
//! variants of enums are stored by name. A variant that is renamed needs `#[serde(rename)]` with
//! its stored name. Both logs together contain every variant of a log record and, within the
//! entries, every payload.

#[path = "../../consensus/tests/golden/values.rs"]
mod consensus_values;
#[path = "../../state/tests/golden/mod.rs"]
mod golden;

use consensus_values::{entries, hard_state, snapshot};
use golden::{fixture_path, to_hex, writes_fixtures};
use postbarrow_consensus::{Entry, RecoveredState, Write};
use postbarrow_storage::{Disk, FolderDisk, LOG_FILES, OpenResult, SLOT_FILES, Storage, open};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Once};

const CRATE: &str = env!("CARGO_MANIFEST_DIR");
const MEMBER: u64 = 0x0123_4567_89ab_cdef;

/// Returns the committed folder. With POSTBARROW_WRITE_FIXTURES set, it is written first, once in
/// the process.
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
    SLOT_FILES.into_iter().chain(LOG_FILES)
}

fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the folder is created");
    folder
}

/// Creates a folder with copies of these files of the fixture.
fn copy_of_fixture(name: &str, files: impl IntoIterator<Item = &'static str>) -> PathBuf {
    let folder = empty_folder(name);
    for file in files {
        std::fs::copy(fixture().join(file), folder.join(file)).expect("the fixture is committed");
    }
    folder
}

/// Returns log writes that follow a slot: a hard state, entries of which the last are truncated,
/// and another hard state.
fn log_writes(first: u64, term: u64) -> Vec<Write> {
    let (retained_end, truncated) = (first + 2, entries(first + 3));
    vec![
        Write::HardState(hard_state(term)),
        Write::Append(entries(first)),
        Write::Append(truncated),
        Write::Truncate { from: retained_end },
        Write::HardState(hard_state(term + 1)),
    ]
}

/// Writes two generations of files: that of a new member, and that of its first snapshot.
fn write_folder(folder: &Path) {
    let disk = FolderDisk::new(folder.to_path_buf()).expect("the folder is created");
    let mut storage = Storage::create(disk, MEMBER).expect("the storage is created");
    storage.apply(log_writes(1, 2)).expect("the write succeeds");
    let slot =
        Write::Slot { snapshot: Arc::new(snapshot()), hard: hard_state(4), entries: entries(41) };
    storage.apply(vec![slot]).expect("the write succeeds");
    storage.apply(log_writes(44, 5)).expect("the write succeeds");
}

fn open_intact(folder: &Path) -> (Storage<FolderDisk>, RecoveredState) {
    match open(FolderDisk::new(folder.to_path_buf()).expect("the folder opens"))
        .expect("the folder is read")
    {
        OpenResult::Recovered { storage, recovered } => (storage, recovered),
        OpenResult::Damaged { damage, .. } => panic!("damaged: {damage}"),
        OpenResult::Empty(_) => panic!("the folder opened as empty"),
    }
}

fn assert_same_files(folder: &Path, files: impl IntoIterator<Item = &'static str>) {
    for file in files {
        let read = |folder: &Path| std::fs::read(folder.join(file)).expect("the file exists");
        assert_eq!(
            to_hex(&read(folder)),
            to_hex(&read(&fixture())),
            "{file}: the bytes differ from the fixture"
        );
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
    assert_eq!(
        (recovered.term, recovered.voted_for),
        (hard_state(6).term, hard_state(6).voted_for)
    );
    assert_eq!(recovered.snapshot.as_deref(), Some(&snapshot()));
    let retained = entries(44).into_iter().take(2);
    assert_eq!(recovered.entries, entries(41).into_iter().chain(retained).collect::<Vec<Entry>>());
    assert_same_files(&folder, files());
}

#[test]
fn older_slot_and_its_log_are_recovered_without_the_newer() {
    let older = [SLOT_FILES[1], LOG_FILES[1]];
    let folder = copy_of_fixture("golden-older", older);
    let (storage, recovered) = open_intact(&folder);
    assert_eq!(storage.id(), MEMBER);
    assert_eq!(
        (recovered.term, recovered.voted_for),
        (hard_state(3).term, hard_state(3).voted_for)
    );
    assert_eq!(recovered.snapshot, None);
    assert_eq!(recovered.entries, entries(1).into_iter().take(2).collect::<Vec<Entry>>());
    assert_same_files(&folder, older);
}

/// A release can open the committed folder and append to its log.
#[test]
fn writes_to_a_committed_folder_are_appended_to_its_log() {
    let folder = copy_of_fixture("golden-written-on", files());
    let (mut storage, before) = open_intact(&folder);
    storage.apply(vec![Write::Append(entries(46))]).expect("the write succeeds");
    let mut disk = storage.into_disk();
    let log = disk.read(LOG_FILES[0]).expect("the log is read");
    assert!(log.starts_with(
        &std::fs::read(fixture().join(LOG_FILES[0])).expect("the fixture is committed")
    ));
    let (_, after) = open_intact(&folder);
    assert_eq!(after.entries, before.entries.into_iter().chain(entries(46)).collect::<Vec<_>>());
}
