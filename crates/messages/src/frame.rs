//! Frames: a big-endian length of four bytes, followed by an envelope in MessagePack.

use crate::Envelope;
use postbarrow_constants::traffic::FRAME_BYTES;
use std::io::Read;

/// The error of a frame that could not be written or read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The stream ended before a frame or within one.
    #[error("the stream ended before a complete frame")]
    Closed,
    /// Reading from the stream failed.
    #[error("reading a frame from the stream failed: {0}")]
    Io(std::io::Error),
    /// The frame's content is longer than `FRAME_BYTES`.
    #[error("frame of {size_bytes} bytes exceeds the limit of {FRAME_BYTES} bytes")]
    TooLarge {
        /// Length of the content, without the four bytes that state it.
        size_bytes: usize,
    },
    /// The envelope can't be encoded or decoded.
    #[error("the envelope of a frame can't be encoded or decoded: {0}")]
    Unreadable(
        /// Message of the encoder or decoder.
        String,
    ),
}

const LENGTH_BYTES: usize = 4;

/// Encodes an envelope into a frame.
///
/// # Errors
///
/// `TooLarge` if the encoded envelope is longer than `FRAME_BYTES`, `Unreadable` if it can't be
/// encoded.
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

/// Reads one frame. The memory used grows with the bytes that arrive, not with the stated length.
///
/// # Errors
///
/// Any `FrameError`. The stream must not be read any further after an error.
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
