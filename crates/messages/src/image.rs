//! The encoding of the newest image that a node asked for.

use crate::ImageFrame;
use postbarrow_state::State;
use serde_bytes::ByteBuf;
use std::sync::Arc;

/// Encodes an image once for all children that ask for it; a newer one takes its place.
#[derive(Default)]
pub struct EncodedImage {
    kept: Option<ImageFrame>,
    encodings: u64,
}

impl EncodedImage {
    /// The frame of this offset's image; `state` is asked for only if it isn't encoded yet.
    pub fn frame(&mut self, offset: u64, state: impl FnOnce() -> State) -> ImageFrame {
        if let Some(kept) = &self.kept
            && kept.offset == offset
        {
            return kept.clone();
        }
        let bytes = rmp_serde::to_vec(&state()).expect("a state encodes into memory");
        let frame = ImageFrame { offset, state: Arc::new(ByteBuf::from(bytes)) };
        self.encodings += 1;
        self.kept = Some(frame.clone());
        frame
    }

    /// Gives the memory back once the image is no longer the newest.
    pub fn forget_before(&mut self, offset: u64) {
        if self.kept.as_ref().is_some_and(|kept| kept.offset < offset) {
            self.kept = None;
        }
    }

    /// How many images were encoded so far.
    pub fn encodings(&self) -> u64 {
        self.encodings
    }
}
