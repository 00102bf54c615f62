//! Opening the data folder at the process's start; a full disk makes it wait, not end.

use crate::disk::lock;
use log::{info, warn};
use postbarrow_consensus::RecoveredState;
use postbarrow_constants::consensus::DISK_FULL_PAUSE_MS;
use postbarrow_startup::{Bounds, stop_requested};
use postbarrow_storage::{FolderDisk, Opened, Reservation, Storage, is_full, open};
use postbarrow_transport::random;
use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// What the folder kept, or a new member's storage. A folder that does not last is not locked: its
/// process is never a member, and file systems in memory may have no locks.
pub fn open_folder(
    folder: &Path,
    lasts: bool,
) -> io::Result<(Storage<FolderDisk>, RecoveredState)> {
    while_full(|| FolderDisk::new(folder.to_path_buf()))?;
    if lasts {
        while_full(|| lock(folder))?;
    }
    while_full(|| open_disk(folder))
}

/// The space to keep on a disk of these bounds.
pub fn reservation(bounds: &Bounds) -> Reservation {
    Reservation { log_bytes: bounds.reserved_log_bytes(), slot_bytes: bounds.reserved_slot_bytes() }
}

fn open_disk(folder: &Path) -> io::Result<(Storage<FolderDisk>, RecoveredState)> {
    match open(FolderDisk::new(folder.to_path_buf())?)? {
        Opened::Recovered { storage, recovered } => Ok((storage, recovered)),
        Opened::Empty(disk) => {
            info!("disk: {} is empty, this is a new member", folder.display());
            Ok((Storage::create(disk, random())?, RecoveredState::default()))
        }
        Opened::Damaged { disk, damage } => {
            warn!("disk: {damage}; what it knew is lost, this is a new member");
            Ok((Storage::create(disk, random())?, RecoveredState::default()))
        }
    }
}

/// Each try begins anew, as a new process would, so a try that failed leaves nothing to trust.
fn while_full<T>(mut step: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut said = false;
    loop {
        match step() {
            Err(error) if is_full(&error) && !stop_requested() => {
                if !std::mem::replace(&mut said, true) {
                    warn!("disk: {error}; the start waits for space");
                }
                thread::sleep(Duration::from_millis(DISK_FULL_PAUSE_MS));
            }
            done => return done,
        }
    }
}
