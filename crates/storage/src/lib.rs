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
pub use error::{WriteError, is_full};
pub use folder_disk::FolderDisk;
pub use open::{Opened, open};
pub use reserve::Reservation;
pub use storage::Storage;

/// The files of the two slots; generation `n` is in the one at `n % 2`.
pub const SLOTS: [&str; 2] = ["slot-a", "slot-b"];
/// The files of the two logs; each follows the slot of its generation.
pub const LOGS: [&str; 2] = ["log-a", "log-b"];

/// The index in `SLOTS` and `LOGS` of a generation's files.
fn file_index(generation: u64) -> usize {
    (generation % 2) as usize
}
