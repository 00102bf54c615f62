//! The operations that storage requires of a disk.

use std::io;

/// The operations that storage requires of a disk. Only synced bytes in files whose names are
/// synced are durable: a loss of power retains or loses every other write and every other name
/// independently.
pub trait Disk {
    /// Returns all bytes of a file, or no bytes if the file does not exist.
    fn read(&mut self, file: &str) -> io::Result<Vec<u8>>;
    /// Creates a file, unless a file of this name exists.
    fn create(&mut self, file: &str) -> io::Result<()>;
    /// Makes the names of all files durable.
    fn sync_names(&mut self) -> io::Result<()>;
    /// Writes bytes in place from a byte offset on; bytes beyond them stay unchanged.
    fn write(&mut self, file: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Shortens a file to `length` bytes; space that it used or reserved beyond is released.
    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()>;
    /// Makes all writes to a file durable.
    fn sync(&mut self, file: &str) -> io::Result<()>;
    /// Allocates space for the file's first `bytes` bytes; its content and length stay unchanged.
    fn reserve(&mut self, file: &str, bytes: u64) -> io::Result<()>;
}
