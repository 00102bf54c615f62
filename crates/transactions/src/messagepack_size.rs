//! Sizes of encoded values, counted without storing the encoding.

use serde::Serialize;
use std::io::{self, Write};

/// Returns the size in bytes of the value in MessagePack, fields by position.
///
/// # Panics
///
/// If the value can't be encoded, which does not happen to types with derived serialization.
pub fn messagepack_bytes<T: Serialize + ?Sized>(value: &T) -> usize {
    let mut counter = ByteCounter::default();
    rmp_serde::encode::write(&mut counter, value).expect("counting bytes succeeds");
    counter.bytes
}

/// A writer that only counts the bytes written to it.
#[derive(Default)]
struct ByteCounter {
    bytes: usize,
}

impl Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
