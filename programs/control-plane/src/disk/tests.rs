//! Tests of the disk's worker.

use super::*;
use postbarrow_consensus::HardState;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::channel;

/// Long past anything a worker needs; reached only if it hangs.
const HANGS: Duration = Duration::from_secs(20);
const RESERVATION: Reservation = Reservation { log_bytes: 4_096, slot_bytes: 4_096 };

#[derive(Default)]
struct Shared {
    files: Mutex<HashMap<String, Vec<u8>>>,
    full: AtomicBool,
    fails: AtomicBool,
    refused: AtomicU64,
    reserved: AtomicU64,
}

/// A disk in memory, filled and freed by the test.
#[derive(Clone, Default)]
struct MemoryDisk(Arc<Shared>);

impl MemoryDisk {
    fn fill(&self, full: bool) {
        self.0.full.store(full, SeqCst);
    }

    fn space(&self) -> io::Result<()> {
        if self.0.full.load(SeqCst) {
            self.0.refused.fetch_add(1, SeqCst);
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn wait_until_refused(&self, times: u64) {
        let tries = HANGS.as_millis() as usize;
        let refused = || self.0.refused.load(SeqCst) >= times;
        let seen = (0..tries).any(|_| {
            refused() || {
                thread::sleep(Duration::from_millis(1));
                false
            }
        });
        assert!(seen, "the worker does not try again");
    }
}

impl Disk for MemoryDisk {
    fn read(&mut self, file: &str) -> io::Result<Vec<u8>> {
        Ok(self.0.files.lock().unwrap().get(file).cloned().unwrap_or_default())
    }
    fn create(&mut self, _file: &str) -> io::Result<()> {
        Ok(())
    }
    fn sync_names(&mut self) -> io::Result<()> {
        Ok(())
    }
    fn write(&mut self, file: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.space()?;
        let mut files = self.0.files.lock().unwrap();
        let content = files.entry(file.to_string()).or_default();
        content.resize(content.len().max(offset as usize + bytes.len()), 0);
        content[offset as usize..][..bytes.len()].copy_from_slice(bytes);
        Ok(())
    }
    fn truncate(&mut self, file: &str, _length: u64) -> io::Result<()> {
        self.0.files.lock().unwrap().remove(file);
        Ok(())
    }
    fn sync(&mut self, _file: &str) -> io::Result<()> {
        if self.0.fails.load(SeqCst) { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }
    fn reserve(&mut self, _file: &str, bytes: u64) -> io::Result<()> {
        self.space()?;
        self.0.reserved.fetch_add(bytes, SeqCst);
        Ok(())
    }
}

fn worker(reservation: Option<Reservation>) -> (MemoryDisk, DiskWriter, Receiver<Command>) {
    let disk = MemoryDisk::default();
    let storage = Storage::create(disk.clone(), 9).unwrap();
    if reservation.is_some() {
        disk.fill(true);
    }
    let (commands, told) = channel();
    let writes = start(storage, reservation, commands).unwrap();
    (disk, writes, told)
}

fn vote(term: u64) -> Write {
    Write::HardState(HardState { term, voted_for: Some(9) })
}

fn assert_synced(told: &Receiver<Command>, sequence: u64) {
    match told.recv_timeout(HANGS) {
        Ok(Command::Synced(synced)) => assert_eq!(synced, sequence),
        Ok(Command::DiskFailed(error)) => panic!("{error}"),
        _ => panic!("the worker said something else or nothing"),
    }
}

#[test]
fn a_full_disk_keeps_the_worker_trying_until_there_is_space() {
    let (disk, writes, told) = worker(None);
    disk.fill(true);
    writes.write(1, vote(1));
    disk.wait_until_refused(3);
    assert!(told.try_recv().is_err(), "something was acknowledged or the process was ended");
    writes.write(2, vote(2));
    disk.fill(false);
    assert_synced(&told, 1);
    assert_synced(&told, 2);
}

#[test]
fn space_is_reserved_once_there_is_some() {
    let (disk, writes, told) = worker(Some(RESERVATION));
    disk.wait_until_refused(2);
    disk.fill(false);
    writes.write(1, vote(1));
    assert_synced(&told, 1);
    drop(writes);
    let whole = 2 * (RESERVATION.log_bytes + RESERVATION.slot_bytes);
    assert_eq!(disk.0.reserved.load(SeqCst), whole);
}

#[test]
fn a_worker_ends_on_a_full_disk_when_its_process_does() {
    let (disk, writes, told) = worker(None);
    disk.fill(true);
    writes.write(1, vote(1));
    disk.wait_until_refused(1);
    drop(writes);
    assert!(told.recv().is_err(), "an end was told as a sync or a failure");
}

#[test]
fn a_failed_sync_ends_the_process_even_if_it_says_full() {
    let (disk, writes, told) = worker(None);
    disk.0.fails.store(true, SeqCst);
    writes.write(1, vote(1));
    assert!(matches!(told.recv_timeout(HANGS), Ok(Command::DiskFailed(_))));
}

#[test]
fn a_folder_serves_one_process_and_the_lock_says_so() {
    let folder = std::env::temp_dir().join(format!("postbarrow-lock-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    lock(&folder).expect("nobody holds it");
    let refused = lock(&folder).expect_err("this process holds it by another file");
    std::fs::remove_dir_all(&folder).expect("it is empty but for the lock");
    assert_eq!(refused.kind(), io::ErrorKind::AddrInUse);
    assert!(lock(&folder).is_err_and(|error| error.kind() == io::ErrorKind::NotFound));
}
