use crate::core::Command;
use log::info;
use postbarrow_consensus::Write;
use postbarrow_storage::{FolderDisk, Storage};
use std::fs::File;
use std::io;
use std::os::fd::{AsRawFd, IntoRawFd};
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};

/// The disk's queue. What waits while one sync runs shares the next one.
pub struct Writes {
    queue: Option<Sender<(u64, Write)>>,
    worker: Option<JoinHandle<()>>,
}

impl Writes {
    pub fn write(&self, sequence: u64, write: Write) {
        if let Some(queue) = &self.queue {
            let _ = queue.send((sequence, write));
        }
    }
}

impl Drop for Writes {
    fn drop(&mut self) {
        self.queue = None;
        if let Some(worker) = self.worker.take() {
            let _ = worker.join();
        }
    }
}

pub fn start(storage: Storage<FolderDisk>, commands: Sender<Command>) -> io::Result<Writes> {
    let (queue, waiting) = channel();
    let worker = thread::Builder::new()
        .name("disk".into())
        .spawn(move || run(storage, &waiting, &commands))?;
    Ok(Writes { queue: Some(queue), worker: Some(worker) })
}

fn run(
    mut storage: Storage<FolderDisk>,
    waiting: &Receiver<(u64, Write)>,
    commands: &Sender<Command>,
) {
    let (mut syncs, mut writes) = (0u64, 0u64);
    while let Ok((mut sequence, write)) = waiting.recv() {
        let mut group = vec![write];
        while let Ok((later, write)) = waiting.try_recv() {
            sequence = later;
            group.push(write);
        }
        syncs += 1;
        writes += group.len() as u64;
        if let Err(error) = storage.apply(group) {
            let _ = commands.send(Command::DiskFailed(error.to_string()));
            return;
        }
        if commands.send(Command::Synced(sequence)).is_err() {
            break;
        }
    }
    info!("disk: {writes} writes in {syncs} syncs");
}

/// One process a data folder; the lock goes with the process.
pub fn lock(folder: &Path) -> io::Result<()> {
    let file = File::create(folder.join("lock"))?;
    if unsafe { libc::flock(file.as_raw_fd(), libc::LOCK_EX | libc::LOCK_NB) } != 0 {
        let text = format!("{} is used by another process", folder.display());
        return Err(io::Error::new(io::ErrorKind::AddrInUse, text));
    }
    let _kept_open = file.into_raw_fd();
    Ok(())
}
