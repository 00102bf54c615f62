//! The thread that writes to the disk: it writes batches with one sync each, reserves space, and
//! retries while the disk is full.

use crate::command::Command;
use log::{info, warn};
use postbarrow_consensus::Write;
use postbarrow_constants::consensus::DISK_FULL_PAUSE_MS;
use postbarrow_storage::{Disk, Reservation, Storage, WriteError};
use postbarrow_transport::spawn_essential;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// A write with its sequence number, which `Command::Synced` repeats.
type QueuedWrite = (u64, Write);

/// Queues writes for the disk's thread. Writes that are queued while a sync runs share the next
/// sync. Dropping the writer waits until the queue is written, except on a full disk.
pub struct DiskWriter {
    queue: Option<Sender<QueuedWrite>>,
    thread: Option<JoinHandle<()>>,
    /// Whether the process is ending, after which writes to a full disk are no longer retried.
    is_ending: Arc<AtomicBool>,
}

impl DiskWriter {
    /// Starts the disk's thread. A reservation that fails because the disk is full is retried
    /// between the writes.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start<D: Disk + Send + 'static>(
        storage: Storage<D>,
        reservation: Option<Reservation>,
        commands: Sender<Command>,
    ) -> io::Result<DiskWriter> {
        let (queue, receiver) = channel();
        let is_ending = Arc::new(AtomicBool::new(false));
        let write_loop = WriteLoop {
            storage,
            reservation,
            commands,
            is_ending: is_ending.clone(),
            syncs: 0,
            writes: 0,
            is_full: false,
        };
        let thread = spawn_essential("disk", move || write_loop.run(&receiver))?;
        Ok(DiskWriter { queue: Some(queue), thread: Some(thread), is_ending })
    }

    /// Queues a write. `Command::Synced` follows once it is on disk, `Command::DiskFailed` if it
    /// can't be written.
    pub fn write(&self, sequence: u64, write: Write) {
        if let Some(queue) = &self.queue {
            let _ = queue.send((sequence, write));
        }
    }
}

impl Drop for DiskWriter {
    fn drop(&mut self) {
        self.queue = None;
        self.is_ending.store(true, SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct WriteLoop<D> {
    storage: Storage<D>,
    /// The reservation that is still to be made; none if there is nothing to reserve.
    reservation: Option<Reservation>,
    commands: Sender<Command>,
    is_ending: Arc<AtomicBool>,
    syncs: u64,
    writes: u64,
    /// Whether a full disk was logged and no write has succeeded since.
    is_full: bool,
}

impl<D: Disk> WriteLoop<D> {
    fn run(mut self, queue: &Receiver<QueuedWrite>) {
        loop {
            self.reserve();
            let next = match self.reservation {
                Some(_) => queue.recv_timeout(Duration::from_millis(DISK_FULL_PAUSE_MS)),
                None => queue.recv().map_err(RecvTimeoutError::from),
            };
            match next {
                Ok(first) => {
                    if !self.write_batch(first, queue) {
                        break;
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        info!("disk: writer ended writes={} syncs={}", self.writes, self.syncs);
    }

    fn reserve(&mut self) {
        let Some(reservation) = self.reservation else { return };
        match self.storage.reserve(reservation) {
            Ok(()) => self.reservation = None,
            Err(WriteError::Full(error)) => self.log_full("space can't be reserved yet", &error),
            Err(WriteError::Failed(error)) => {
                warn!("disk: reservation failed error={error}");
                self.reservation = None;
            }
        }
    }

    /// Writes all queued writes with one sync. Returns false if the thread must end.
    fn write_batch(&mut self, first: QueuedWrite, queue: &Receiver<QueuedWrite>) -> bool {
        let (mut sequence, write) = first;
        let mut batch = vec![write];
        while let Ok((next_sequence, write)) = queue.try_recv() {
            sequence = next_sequence;
            batch.push(write);
        }
        self.syncs += 1;
        self.writes += batch.len() as u64;
        let mut written = self.storage.apply(batch);
        while let Err(WriteError::Full(error)) = &written {
            if self.is_ending.load(SeqCst) {
                return false;
            }
            self.log_full("this member can't vote until its writes are on disk", error);
            thread::sleep(Duration::from_millis(DISK_FULL_PAUSE_MS));
            written = self.storage.resume();
        }
        if let Err(error) = written {
            let _ = self.commands.send(Command::DiskFailed(error));
            return false;
        }
        if std::mem::take(&mut self.is_full) {
            info!("disk: space available again");
        }
        self.commands.send(Command::Synced(sequence)).is_ok()
    }

    /// Logs that the disk is full, only once until a write succeeds again.
    fn log_full(&mut self, consequence: &str, error: &io::Error) {
        if !std::mem::replace(&mut self.is_full, true) {
            warn!("disk: full, {consequence} error={error}");
        }
    }
}

#[cfg(test)]
mod tests;
