//! The disk's worker: it shares syncs, keeps space, and waits while the disk is full.

use crate::core::Command;
use log::{info, warn};
use postbarrow_consensus::Write;
use postbarrow_constants::consensus::DISK_FULL_PAUSE_MS;
use postbarrow_storage::{Disk, Reservation, Storage, WriteError};
use std::fs::File;
use std::io;
use std::os::fd::{AsRawFd, IntoRawFd};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The disk's queue. What waits while one sync runs shares the next one.
pub struct DiskWriter {
    queue: Option<Sender<(u64, Write)>>,
    worker: Option<JoinHandle<()>>,
    /// The process ends: nobody waits for a full disk any longer.
    ending: Arc<AtomicBool>,
}

impl DiskWriter {
    pub fn write(&self, sequence: u64, write: Write) {
        if let Some(queue) = &self.queue {
            let _ = queue.send((sequence, write));
        }
    }
}

impl Drop for DiskWriter {
    fn drop(&mut self) {
        self.queue = None;
        self.ending.store(true, SeqCst);
        if let Some(worker) = self.worker.take() {
            let _ = worker.join();
        }
    }
}

/// Starts the worker. A reservation that finds the disk full is tried again between the writes.
pub fn start<D: Disk + Send + 'static>(
    storage: Storage<D>,
    reservation: Option<Reservation>,
    commands: Sender<Command>,
) -> io::Result<DiskWriter> {
    let (queue, waiting) = channel();
    let ending = Arc::new(AtomicBool::new(false));
    let worker = WriteLoop {
        storage,
        reservation,
        commands,
        ending: ending.clone(),
        syncs: 0,
        writes: 0,
        full: false,
    };
    let worker = thread::Builder::new().name("disk".into()).spawn(move || worker.run(&waiting))?;
    Ok(DiskWriter { queue: Some(queue), worker: Some(worker), ending })
}

struct WriteLoop<D> {
    storage: Storage<D>,
    /// Space that is still to be reserved.
    reservation: Option<Reservation>,
    commands: Sender<Command>,
    ending: Arc<AtomicBool>,
    syncs: u64,
    writes: u64,
    /// The disk was full at the last try, and that was said.
    full: bool,
}

impl<D: Disk> WriteLoop<D> {
    fn run(mut self, waiting: &Receiver<(u64, Write)>) {
        loop {
            self.reserve();
            let next = match self.reservation {
                Some(_) => waiting.recv_timeout(Duration::from_millis(DISK_FULL_PAUSE_MS)),
                None => waiting.recv().map_err(RecvTimeoutError::from),
            };
            match next {
                Ok(first) => {
                    if !self.work(first, waiting) {
                        break;
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        info!("disk: {} writes in {} syncs", self.writes, self.syncs);
    }

    fn reserve(&mut self) {
        let Some(reservation) = self.reservation else { return };
        match self.storage.reserve(reservation) {
            Ok(()) => self.reservation = None,
            Err(WriteError::Full(error)) => self.note_full("no space can be kept yet", &error),
            Err(WriteError::Failed(error)) => {
                warn!("disk: no space can be kept here: {error}");
                self.reservation = None;
            }
        }
    }

    /// All that waits shares one sync; false if the worker is to end.
    fn work(&mut self, first: (u64, Write), waiting: &Receiver<(u64, Write)>) -> bool {
        let (mut sequence, write) = first;
        let mut group = vec![write];
        while let Ok((later, write)) = waiting.try_recv() {
            sequence = later;
            group.push(write);
        }
        self.syncs += 1;
        self.writes += group.len() as u64;
        let mut written = self.storage.apply(group);
        while let Err(WriteError::Full(error)) = &written {
            if self.ending.load(SeqCst) {
                return false;
            }
            self.note_full("this member has no vote until its writes are done", error);
            thread::sleep(Duration::from_millis(DISK_FULL_PAUSE_MS));
            written = self.storage.resume();
        }
        if let Err(error) = written {
            let _ = self.commands.send(Command::DiskFailed(error.to_string()));
            return false;
        }
        if std::mem::take(&mut self.full) {
            info!("disk: there is space again");
        }
        self.commands.send(Command::Synced(sequence)).is_ok()
    }

    fn note_full(&mut self, what: &str, error: &io::Error) {
        if !std::mem::replace(&mut self.full, true) {
            warn!("disk: {error}; {what}");
        }
    }
}

/// One process a data folder; the lock goes with the process. The file holds nothing, so it is no
/// matter whether a loss of power keeps its name.
///
/// # Errors
/// `AddrInUse` if another process holds the lock, else what the file system said.
pub fn lock(folder: &Path) -> io::Result<()> {
    let file = File::create(folder.join("lock"))?;
    if unsafe { libc::flock(file.as_raw_fd(), libc::LOCK_EX | libc::LOCK_NB) } != 0 {
        let error = io::Error::last_os_error();
        if error.kind() != io::ErrorKind::WouldBlock {
            return Err(error);
        }
        let text = format!("{} is used by another process", folder.display());
        return Err(io::Error::new(io::ErrorKind::AddrInUse, text));
    }
    let _kept_open = file.into_raw_fd();
    Ok(())
}

#[cfg(test)]
mod tests;
