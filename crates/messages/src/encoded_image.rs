//! The encoding of the newest image that a subscriber fetched.

use crate::ImageFrame;
use postbarrow_state::State;
use serde_bytes::ByteBuf;
use std::sync::Arc;

/// Encodes an image once for all subscribers that fetch it; a newer one replaces it.
#[derive(Default)]
pub struct EncodedImage {
    retained: Option<ImageFrame>,
    encodings: u64,
}

impl EncodedImage {
    /// The frame of this offset's image; `state` is called only if it isn't encoded yet.
    ///
    /// # Panics
    ///
    /// If a state can't be encoded, which its derived serialization excludes.
    pub fn frame(&mut self, offset: u64, state: impl FnOnce() -> State) -> ImageFrame {
        if let Some(retained) = &self.retained
            && retained.offset == offset
        {
            return retained.clone();
        }
        let bytes = rmp_serde::to_vec(&state()).expect("a state encodes into memory");
        let frame = ImageFrame { offset, state: Arc::new(ByteBuf::from(bytes)) };
        self.encodings += 1;
        self.retained = Some(frame.clone());
        frame
    }

    /// Releases the image's memory once it is no longer the newest.
    pub fn forget_before(&mut self, offset: u64) {
        if self.retained.as_ref().is_some_and(|retained| retained.offset < offset) {
            self.retained = None;
        }
    }

    /// How many images were encoded so far.
    pub fn encodings(&self) -> u64 {
        self.encodings
    }
}
