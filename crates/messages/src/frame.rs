use crate::Envelope;
use postbarrow_constants::traffic::FRAME_BYTES;
use std::io::Read;

#[derive(Debug)]
pub enum FrameError {
    Closed,
    Io(std::io::Error),
    TooLarge { size_bytes: usize },
    Unreadable(String),
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FrameError::Closed => write!(out, "closed"),
            FrameError::Io(error) => write!(out, "{error}"),
            FrameError::TooLarge { size_bytes } => write!(out, "frame of {size_bytes} bytes"),
            FrameError::Unreadable(why) => write!(out, "unreadable frame: {why}"),
        }
    }
}

impl std::error::Error for FrameError {}

pub fn to_frame(envelope: &Envelope) -> Result<Vec<u8>, FrameError> {
    let mut bytes = vec![0; 4];
    rmp_serde::encode::write(&mut bytes, envelope)
        .map_err(|error| FrameError::Unreadable(error.to_string()))?;
    let size_bytes = bytes.len() - 4;
    if size_bytes > FRAME_BYTES {
        return Err(FrameError::TooLarge { size_bytes });
    }
    bytes[..4].copy_from_slice(&(size_bytes as u32).to_be_bytes());
    Ok(bytes)
}

/// Reads one frame. Memory grows with what arrives, not with what the length claims.
pub fn read_frame(from: &mut impl Read) -> Result<Envelope, FrameError> {
    let mut head = [0; 4];
    match from.read_exact(&mut head) {
        Ok(()) => {}
        Err(error) if error.kind() == std::io::ErrorKind::UnexpectedEof => {
            return Err(FrameError::Closed);
        }
        Err(error) => return Err(FrameError::Io(error)),
    }
    let size_bytes = u32::from_be_bytes(head) as usize;
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
