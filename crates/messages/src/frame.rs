//! Frames: four bytes of length, big-endian, and an envelope in MessagePack.

use crate::Envelope;
use postbarrow_constants::traffic::FRAME_BYTES;
use std::io::Read;

/// Why a frame could not be written or read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The stream ended, before a frame or within it.
    #[error("closed")]
    Closed,
    /// Reading from the stream failed.
    #[error("{0}")]
    Io(std::io::Error),
    /// The frame is longer than `FRAME_BYTES`.
    #[error("frame of {size_bytes} bytes")]
    TooLarge {
        /// The length, without the four bytes of length.
        size_bytes: usize,
    },
    /// The content can't be encoded or decoded.
    #[error("unreadable frame: {0}")]
    Unreadable(
        /// The encoder's or decoder's message.
        String,
    ),
}

const LENGTH_BYTES: usize = 4;

/// The envelope in its frame.
///
/// # Errors
///
/// `TooLarge`, or `Unreadable` if it can't be encoded.
pub fn to_frame(envelope: &Envelope) -> Result<Vec<u8>, FrameError> {
    let mut bytes = vec![0; LENGTH_BYTES];
    rmp_serde::encode::write(&mut bytes, envelope)
        .map_err(|error| FrameError::Unreadable(error.to_string()))?;
    let size_bytes = bytes.len() - LENGTH_BYTES;
    if size_bytes > FRAME_BYTES {
        return Err(FrameError::TooLarge { size_bytes });
    }
    bytes[..LENGTH_BYTES].copy_from_slice(&(size_bytes as u32).to_be_bytes());
    Ok(bytes)
}

/// Reads one frame. Memory grows with the bytes that arrive, not with the length stated.
///
/// # Errors
///
/// All of `FrameError`; the stream can't be read any further after any of them.
pub fn read_frame(from: &mut impl Read) -> Result<Envelope, FrameError> {
    let mut length = [0; LENGTH_BYTES];
    match from.read_exact(&mut length) {
        Ok(()) => {}
        Err(error) if error.kind() == std::io::ErrorKind::UnexpectedEof => {
            return Err(FrameError::Closed);
        }
        Err(error) => return Err(FrameError::Io(error)),
    }
    let size_bytes = u32::from_be_bytes(length) as usize;
    if size_bytes > FRAME_BYTES {
        return Err(FrameError::TooLarge { size_bytes });
    }
    let mut body = Vec::new();
    from.take(size_bytes as u64).read_to_end(&mut body).map_err(FrameError::Io)?;
    if body.len() < size_bytes {
        return Err(FrameError::Closed);
    }
    rmp_serde::from_slice(&body).map_err(|error| FrameError::Unreadable(error.to_string()))
}
