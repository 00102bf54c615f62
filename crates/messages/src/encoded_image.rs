//! The retained encoding of the image that was last sent to a subscriber.

use crate::ImageFrame;
use postbarrow_state::State;
use serde_bytes::ByteBuf;
use std::sync::Arc;

/// Encodes an image once for all subscribers that it is sent to. An image of another offset
/// replaces it.
#[derive(Default)]
pub struct ImageEncoder {
    retained: Option<ImageFrame>,
    encoded_count: u64,
}

impl ImageEncoder {
    /// Returns the frame of the image with this log offset. `state` is called only if that image
    /// isn't encoded yet.
    ///
    /// # Panics
    ///
    /// Panics if the state can't be encoded, which its derived serialization rules out.
    pub fn frame(&mut self, offset: u64, state: impl FnOnce() -> State) -> ImageFrame {
        if let Some(retained) = &self.retained
            && retained.offset == offset
        {
            return retained.clone();
        }
        let bytes = rmp_serde::to_vec(&state()).expect("encoding a state into memory succeeds");
        let frame = ImageFrame { offset, state: Arc::new(ByteBuf::from(bytes)) };
        self.encoded_count += 1;
        self.retained = Some(frame.clone());
        frame
    }

    /// Releases the memory of the retained image if its log offset is below this one.
    pub fn drop_older_than(&mut self, offset: u64) {
        if self.retained.as_ref().is_some_and(|retained| retained.offset < offset) {
            self.retained = None;
        }
    }

    /// Returns the number of images that were encoded so far.
    pub fn encoded_count(&self) -> u64 {
        self.encoded_count
    }
}
