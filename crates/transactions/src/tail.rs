use crate::{BatchRecord, Image};
use postbarrow_constants::plans::DELTA_BYTES;
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq)]
pub enum BatchOutcome {
    Published,
    Pending,
    Aborted { reason: Option<String> },
}

#[derive(Clone)]
struct Pending<I> {
    delta: I,
    size_bytes: usize,
    name: Option<String>,
}

/// A reader of the log: applies to a pending delta, publishes an image at End only.
#[derive(Clone)]
pub struct Tail<I> {
    image: Arc<I>,
    offset: u64,
    pending: Option<Pending<I>>,
}

impl<I: Image> Tail<I> {
    pub fn new(offset: u64, image: I) -> Self {
        Tail { image: Arc::new(image), offset, pending: None }
    }

    /// One atomic batch. After an error the tail is as it was, and its owner must fetch an image.
    pub fn apply(
        &mut self,
        offset: u64,
        size_bytes: usize,
        lines: &[BatchRecord<I::Record>],
    ) -> Result<BatchOutcome, String> {
        if offset <= self.offset {
            return Err(format!("offset {offset} is not after {}", self.offset));
        }
        let mut pending = self.pending.clone();
        let mut image = None;
        let mut seen = BatchOutcome::Pending;
        for (at, line) in lines.iter().enumerate() {
            let base = || image.clone().unwrap_or_else(|| self.image.as_ref().clone());
            match (line, pending.take()) {
                (BatchRecord::Begin { name }, None) => {
                    pending = Some(Pending { delta: base(), size_bytes: 0, name: name.clone() });
                }
                (BatchRecord::Data(record), Some(mut open)) => {
                    open.delta.apply(offset, record);
                    pending = Some(open);
                }
                (BatchRecord::Data(record), None) => {
                    let mut next = base();
                    next.apply(offset, record);
                    image = Some(next);
                    seen = BatchOutcome::Published;
                }
                (BatchRecord::End, Some(open)) => {
                    image = Some(open.delta);
                    seen = BatchOutcome::Published;
                }
                (BatchRecord::Abort { reason }, Some(_)) => {
                    seen = BatchOutcome::Aborted { reason: reason.clone() }
                }
                (BatchRecord::Begin { .. }, Some(open)) => {
                    let name = open.name.unwrap_or_default();
                    return Err(format!("offset {offset} line {at}: Begin within {name:?}"));
                }
                (BatchRecord::End | BatchRecord::Abort { .. }, None) => {
                    return Err(format!("offset {offset} line {at}: a close without Begin"));
                }
            }
        }
        if let Some(open) = &mut pending {
            open.size_bytes += size_bytes;
            if open.size_bytes > DELTA_BYTES {
                return Err(format!("offset {offset}: pending delta over {DELTA_BYTES} bytes"));
            }
        }
        if let Some(next) = image {
            self.image = Arc::new(next);
        }
        self.pending = pending;
        self.offset = offset;
        Ok(seen)
    }

    pub fn image(&self) -> &Arc<I> {
        &self.image
    }
    pub fn offset(&self) -> u64 {
        self.offset
    }
    /// Passes over offsets that lease nothing for this reader.
    pub fn skip_to(&mut self, offset: u64) {
        self.offset = self.offset.max(offset);
    }
    pub fn is_open(&self) -> bool {
        self.pending.is_some()
    }
    pub fn open_transaction_name(&self) -> Option<&str> {
        self.pending.as_ref().and_then(|open| open.name.as_deref())
    }
    pub fn staged(&self) -> Option<&I> {
        self.pending.as_ref().map(|open| &open.delta)
    }
}
