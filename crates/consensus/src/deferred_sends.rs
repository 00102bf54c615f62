//! Messages that acknowledge or grant something, deferred until the writes that they depend on are
//! synced.

use crate::{AppendResponse, FingerprintTime, Member, Message};
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// A deferred message, and the sequence number of the newest write that it depends on.
#[derive(Clone, Debug)]
struct DeferredSend {
    sequence: u64,
    to: Member,
    message: Message,
}

/// Deferred messages in the order of the writes that they depend on.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeferredSends {
    queue: VecDeque<DeferredSend>,
}

impl DeferredSends {
    /// Defers a message until the write with this sequence number is synced. While a disk does not
    /// respond, heartbeats arrive and no write is issued; the responses to one leader are then
    /// merged into one.
    pub fn push(&mut self, sequence: u64, to: Member, message: Message) {
        if let Message::AppendResponse(newer) = &message
            && let Some(last) = self.queue.back_mut()
            && (last.sequence, last.to) == (sequence, to)
            && let Message::AppendResponse(older) = &mut last.message
            && older.term == newer.term
        {
            return merge_responses(older, newer);
        }
        self.queue.push_back(DeferredSend { sequence, to, message });
    }

    /// Removes and returns the next message, if its write is synced.
    pub fn pop_synced(&mut self, synced: u64) -> Option<(Member, Message)> {
        let next = self.queue.pop_front_if(|next| next.sequence <= synced)?;
        Some((next.to, next.message))
    }

    /// Hashes the state that later behaviour depends on.
    pub fn fingerprint(&self, synced: u64, time: FingerprintTime, hasher: &mut impl Hasher) {
        for deferred in &self.queue {
            (deferred.sequence.saturating_sub(synced), deferred.to).hash(hasher);
            deferred.message.fingerprint(time, hasher);
        }
    }
}

/// Merges a newer response into an older one. Both respond to the same leader and depend on the
/// same write, so no entry was replaced between them, and what either confirms is true.
fn merge_responses(older: &mut AppendResponse, newer: &AppendResponse) {
    older.match_index = older.match_index.max(newer.match_index);
    older.next_index_hint = newer.next_index_hint;
    older.sent_ms = older.sent_ms.max(newer.sent_ms);
}
