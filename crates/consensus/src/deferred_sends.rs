//! Messages that promise something, kept back until the writes that they rest on are synced.

use crate::{AppendResponse, FingerprintTime, Member, Message};
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// A message and the newest write that it rests on.
#[derive(Clone, Debug)]
struct Waiting {
    sequence: u64,
    to: Member,
    message: Message,
}

/// Messages in the order of their writes.
#[derive(Clone, Debug, Default)]
pub(crate) struct AfterSync {
    waiting: VecDeque<Waiting>,
}

impl AfterSync {
    /// Keeps a message until that write is synced. While a disk does not answer, heartbeats come
    /// and no write does: their responses to one leader become one.
    pub fn push(&mut self, sequence: u64, to: Member, message: Message) {
        if let Message::AppendResponse(newer) = &message
            && let Some(last) = self.waiting.back_mut()
            && (last.sequence, last.to) == (sequence, to)
            && let Message::AppendResponse(older) = &mut last.message
            && older.term == newer.term
        {
            return merge(older, newer);
        }
        self.waiting.push_back(Waiting { sequence, to, message });
    }

    /// The next message whose write is synced.
    pub fn pop(&mut self, synced: u64) -> Option<(Member, Message)> {
        let next = self.waiting.pop_front_if(|next| next.sequence <= synced)?;
        Some((next.to, next.message))
    }

    /// What later behaviour rests on, for searches over many states.
    pub fn fingerprint(&self, synced: u64, moment: FingerprintTime, into: &mut impl Hasher) {
        for waiting in &self.waiting {
            (waiting.sequence.saturating_sub(synced), waiting.to).hash(into);
            waiting.message.fingerprint(moment, into);
        }
    }
}

/// Both answer the same leader and rest on the same write, so no entry was replaced between them:
/// what either confirms holds.
fn merge(older: &mut AppendResponse, newer: &AppendResponse) {
    older.matched = older.matched.max(newer.matched);
    older.hint = newer.hint;
    older.sent_ms = older.sent_ms.max(newer.sent_ms);
}
