#![doc = include_str!("../README.md")]
#![deny(missing_docs)]

mod append_log;
mod create;
mod damage;
mod disk;
mod error;
mod folder_disk;
mod log_record;
mod open;
mod reserve;
mod slot;
mod storage;
mod torn_tail;
mod write_slot;

pub use damage::Damage;
pub use disk::Disk;
pub use error::{WriteError, is_out_of_space};
pub use folder_disk::FolderDisk;
pub use open::{OpenResult, open};
pub use reserve::Reservation;
pub use storage::Storage;

/// Names of the two slot files; the slot of generation `n` is in the file at index `n % 2`.
pub const SLOT_FILES: [&str; 2] = ["slot-a", "slot-b"];
/// Names of the two log files; each log follows the slot of its generation, at the same index.
pub const LOG_FILES: [&str; 2] = ["log-a", "log-b"];

/// Returns the index of a generation's files in the two arrays of file names.
fn file_index(generation: u64) -> usize {
    (generation % 2) as usize
}
