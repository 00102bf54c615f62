//! What storage requires of a disk.

use std::io;

/// What storage requires of a disk. Only synced bytes in files whose names are synced are durable:
/// a loss of power retains or loses every other write and every other name independently.
pub trait Disk {
    /// All bytes of a file; none if there is no such file.
    fn read(&mut self, file: &str) -> io::Result<Vec<u8>>;
    /// Creates a file unless one of this name exists.
    fn create(&mut self, file: &str) -> io::Result<()>;
    /// Makes the names of all files durable.
    fn sync_names(&mut self) -> io::Result<()>;
    /// Overwrites in place from a byte offset; bytes beyond stay as they are.
    fn write(&mut self, file: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Shortens a file to `length` bytes; the space that it used or had reserved is released.
    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()>;
    /// Makes all writes to a file durable.
    fn sync(&mut self, file: &str) -> io::Result<()>;
    /// Allocates space for the file's first `bytes`, and leaves its content and length as they are.
    fn reserve(&mut self, file: &str, bytes: u64) -> io::Result<()>;
}
