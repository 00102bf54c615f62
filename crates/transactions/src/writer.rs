use crate::{Image, Line, cut};
use postbarrow_constants::plans::{DELTA_BYTES, TRANSACTION_OPEN_MS};

#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    AlreadyOpen,
    NoneOpen,
    OverDelta,
}

struct Open<I> {
    since_ms: u64,
    size_bytes: usize,
    rollback: I,
}

/// The single writer's side: optimistic state, and the clone kept at Begin to go back to.
pub struct Writer<I> {
    term: u64,
    current: I,
    open: Option<Open<I>>,
}

impl<I: Image> Writer<I> {
    pub fn new(term: u64, committed: I) -> Self {
        Writer { term, current: committed, open: None }
    }

    pub fn begin(&mut self, now_ms: u64, name: &str) -> Result<Line<I::Record>, Refusal> {
        if self.open.is_some() {
            return Err(Refusal::AlreadyOpen);
        }
        self.open = Some(Open { since_ms: now_ms, size_bytes: 0, rollback: self.current.clone() });
        Ok(Line::begin(&cut(name)))
    }

    /// Counts a batch of the open transaction against the delta's bound.
    pub fn grow(&mut self, size_bytes: usize) -> Result<(), Refusal> {
        let open = self.open.as_mut().ok_or(Refusal::NoneOpen)?;
        open.size_bytes += size_bytes;
        if open.size_bytes > DELTA_BYTES { Err(Refusal::OverDelta) } else { Ok(()) }
    }

    pub fn apply(&mut self, offset: u64, record: &I::Record) {
        self.current.apply(offset, record);
    }

    pub fn end(&mut self) -> Result<Line<I::Record>, Refusal> {
        self.open.take().map(|_| Line::End).ok_or(Refusal::NoneOpen)
    }

    pub fn abort(&mut self, reason: &str) -> Result<Line<I::Record>, Refusal> {
        let open = self.open.take().ok_or(Refusal::NoneOpen)?;
        self.current = open.rollback;
        Ok(Line::abort(reason))
    }

    pub fn is_overdue(&self, now_ms: u64) -> bool {
        self.open.as_ref().is_some_and(|open| now_ms >= open.since_ms + TRANSACTION_OPEN_MS)
    }

    pub fn open_ms(&self, now_ms: u64) -> Option<u64> {
        self.open.as_ref().map(|open| now_ms.saturating_sub(open.since_ms))
    }
    pub fn current(&self) -> &I {
        &self.current
    }
    pub fn rollback(&self) -> Option<&I> {
        self.open.as_ref().map(|open| &open.rollback)
    }
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }
    pub fn term(&self) -> u64 {
        self.term
    }
}
