//! Tests of `disk_writer`.

use super::*;
use postbarrow_consensus::HardState;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::channel;

/// Time limit of each wait, far longer than the writer needs: reached only if the writer hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);
const RESERVATION: Reservation = Reservation { log_bytes: 4_096, slot_bytes: 4_096 };

#[derive(Default)]
struct Shared {
    files: Mutex<HashMap<String, Vec<u8>>>,
    is_full: AtomicBool,
    sync_fails: AtomicBool,
    refusals: AtomicU64,
    reserved_bytes: AtomicU64,
}

/// An in-memory disk that the test makes full or not full.
#[derive(Clone, Default)]
struct MemoryDisk(Arc<Shared>);

impl MemoryDisk {
    fn set_full(&self, is_full: bool) {
        self.0.is_full.store(is_full, SeqCst);
    }

    fn check_space(&self) -> io::Result<()> {
        if self.0.is_full.load(SeqCst) {
            self.0.refusals.fetch_add(1, SeqCst);
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn wait_for_refusals(&self, min: u64) {
        let attempts = HANG_TIMEOUT.as_millis() as usize;
        let is_reached = || self.0.refusals.load(SeqCst) >= min;
        let observed = (0..attempts).any(|_| {
            is_reached() || {
                thread::sleep(Duration::from_millis(1));
                false
            }
        });
        assert!(observed, "the writer does not retry on a full disk");
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
        self.check_space()?;
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
        if self.0.sync_fails.load(SeqCst) { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }
    fn reserve(&mut self, _file: &str, bytes: u64) -> io::Result<()> {
        self.check_space()?;
        self.0.reserved_bytes.fetch_add(bytes, SeqCst);
        Ok(())
    }
}

fn start_writer(reservation: Option<Reservation>) -> (MemoryDisk, DiskWriter, Receiver<Command>) {
    let disk = MemoryDisk::default();
    let storage = Storage::create(disk.clone(), 9).unwrap();
    if reservation.is_some() {
        disk.set_full(true);
    }
    let (sender, commands) = channel();
    let writer = DiskWriter::start(storage, reservation, sender).unwrap();
    (disk, writer, commands)
}

fn vote(term: u64) -> Write {
    Write::HardState(HardState { term, voted_for: Some(9) })
}

fn assert_synced(commands: &Receiver<Command>, sequence: u64) {
    match commands.recv_timeout(HANG_TIMEOUT) {
        Ok(Command::Synced(synced)) => assert_eq!(synced, sequence),
        Ok(Command::DiskFailed(error)) => panic!("the disk failed: {error}"),
        _ => panic!("the writer sent another command or none"),
    }
}

#[test]
fn a_full_disk_is_retried_until_it_has_space() {
    let (disk, writer, commands) = start_writer(None);
    disk.set_full(true);
    writer.write(1, vote(1));
    disk.wait_for_refusals(3);
    assert!(
        commands.try_recv().is_err(),
        "the writer acknowledged a write or reported a failure on a full disk"
    );
    writer.write(2, vote(2));
    disk.set_full(false);
    assert_synced(&commands, 1);
    assert_synced(&commands, 2);
}

#[test]
fn a_reservation_is_retried_until_the_disk_has_space() {
    let (disk, writer, commands) = start_writer(Some(RESERVATION));
    disk.wait_for_refusals(2);
    disk.set_full(false);
    writer.write(1, vote(1));
    assert_synced(&commands, 1);
    drop(writer);
    let reserved_bytes = 2 * (RESERVATION.log_bytes + RESERVATION.slot_bytes);
    assert_eq!(disk.0.reserved_bytes.load(SeqCst), reserved_bytes);
}

#[test]
fn the_writer_ends_on_a_full_disk_when_its_process_ends() {
    let (disk, writer, commands) = start_writer(None);
    disk.set_full(true);
    writer.write(1, vote(1));
    disk.wait_for_refusals(1);
    drop(writer);
    assert!(commands.recv().is_err(), "the writer reported a sync or a failure when it ended");
}

#[test]
fn a_failed_sync_is_a_disk_failure_even_if_its_error_says_full() {
    let (disk, writer, commands) = start_writer(None);
    disk.0.sync_fails.store(true, SeqCst);
    writer.write(1, vote(1));
    assert!(matches!(commands.recv_timeout(HANG_TIMEOUT), Ok(Command::DiskFailed(_))));
}
