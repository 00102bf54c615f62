//! Opens the data folder at the process's start; on a full disk the start waits for space.

use log::{error, info, warn};
use postbarrow_consensus::RecoveredState;
use postbarrow_constants::consensus::DISK_FULL_PAUSE_MS;
use postbarrow_startup::{Bounds, stop_requested};
use postbarrow_storage::{FolderDisk, OpenResult, Reservation, Storage, is_out_of_space, open};
use postbarrow_transport::random;
use std::fs::File;
use std::io;
use std::os::fd::{AsRawFd, IntoRawFd};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Recovers the member that the folder stores, or creates the storage of a new member. A folder
/// that is not persistent is not locked: its process is never a member, and in-memory file systems
/// may not support locks.
///
/// # Errors
/// Another process uses the folder, the file system fails for a reason other than a lack of space,
/// or the process is requested to stop while the disk is full.
pub fn open_folder(
    folder: &Path,
    is_persistent: bool,
) -> io::Result<(Storage<FolderDisk>, RecoveredState)> {
    retry_while_full(|| FolderDisk::new(folder.to_path_buf()))?;
    if is_persistent {
        retry_while_full(|| lock(folder))?;
    }
    retry_while_full(|| open_disk(folder))
}

/// Returns the space to reserve on the disk of a process with these bounds.
pub fn reservation(bounds: &Bounds) -> Reservation {
    Reservation { log_bytes: bounds.reserved_log_bytes(), slot_bytes: bounds.reserved_slot_bytes() }
}

fn open_disk(folder: &Path) -> io::Result<(Storage<FolderDisk>, RecoveredState)> {
    match open(FolderDisk::new(folder.to_path_buf())?)? {
        OpenResult::Recovered { storage, recovered } => Ok((storage, recovered)),
        OpenResult::Empty(disk) => {
            info!("disk: empty, starting as a new member folder={}", folder.display());
            Ok((Storage::create(disk, random())?, RecoveredState::default()))
        }
        OpenResult::Damaged { disk, damage } => {
            error!("disk: damaged, starting as a new member finding={damage}");
            Ok((Storage::create(disk, random())?, RecoveredState::default()))
        }
    }
}

/// Repeats a step while the disk is full and no stop was requested. Each attempt starts from the
/// beginning, as a new process would, so that nothing relies on what a failed attempt left on the
/// disk.
fn retry_while_full<T>(mut step: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut is_logged = false;
    loop {
        match step() {
            Err(error) if is_out_of_space(&error) && !stop_requested() => {
                if !std::mem::replace(&mut is_logged, true) {
                    warn!("disk: full, the start waits for space error={error}");
                }
                thread::sleep(Duration::from_millis(DISK_FULL_PAUSE_MS));
            }
            result => return result,
        }
    }
}

/// Locks the folder for this process; the lock ends with the process. The lock file has no content,
/// so it doesn't matter whether the file survives a power loss.
///
/// # Errors
/// `AddrInUse` if another process has the lock, else the file system's error.
fn lock(folder: &Path) -> io::Result<()> {
    let file = File::create(folder.join("lock"))?;
    if unsafe { libc::flock(file.as_raw_fd(), libc::LOCK_EX | libc::LOCK_NB) } != 0 {
        let error = io::Error::last_os_error();
        if error.kind() != io::ErrorKind::WouldBlock {
            return Err(error);
        }
        let text = format!("data folder {} is in use by another process", folder.display());
        return Err(io::Error::new(io::ErrorKind::AddrInUse, text));
    }
    // Closing the file would release the lock.
    let _locked = file.into_raw_fd();
    Ok(())
}

#[cfg(test)]
mod tests;
