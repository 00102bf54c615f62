//! Identity of a state, for searches over many of them: equal fingerprints mean equal behaviour from
//! there on, but for the spread of election timers.

use crate::{Consensus, Message};
use std::hash::{Hash, Hasher};

/// The time of a state. Times are hashed by their distance from it, and those older than the horizon
/// are all alike.
#[derive(Clone, Copy)]
pub struct FingerprintTime {
    /// Time of the state, in milliseconds.
    pub now_ms: u64,
    /// Age from which times no longer differ, in milliseconds.
    pub horizon_ms: u64,
}

impl FingerprintTime {
    pub(crate) fn age(&self, at_ms: u64) -> u64 {
        self.now_ms.saturating_sub(at_ms).min(self.horizon_ms)
    }

    pub(crate) fn until(&self, due_ms: u64) -> u64 {
        due_ms.saturating_sub(self.now_ms)
    }
}

impl Message {
    /// Hashes the message with its send time as an age, and all else as it is.
    pub fn fingerprint(&self, time: FingerprintTime, into: &mut impl Hasher) {
        let mut message = self.clone();
        match &mut message {
            Message::Append(append) => append.sent_ms = time.age(append.sent_ms),
            Message::AppendResponse(response) => response.sent_ms = time.age(response.sent_ms),
            Message::Snapshot(chunk) => chunk.sent_ms = time.age(chunk.sent_ms),
            Message::SnapshotResponse(response) => response.sent_ms = time.age(response.sent_ms),
            Message::TimeoutNow(request) => request.sent_ms = time.age(request.sent_ms),
            _ => {}
        }
        message.hash(into);
    }
}

impl Consensus {
    /// Hashes all that later behaviour depends on. The state of the random generator and the clock
    /// offset are omitted, and so is what a departure adds, since no search begins one.
    pub fn fingerprint(&self, time: FingerprintTime, into: &mut impl Hasher) {
        (self.id, self.term, self.voted_for, self.commit_index, self.role).hash(into);
        (&self.log, &self.snapshot, &self.incoming, self.seats.voters).hash(into);
        self.election.fingerprint(time, into);
        self.probe.fingerprint(time, into);
        self.contact.fingerprint(time, into);
        self.leader_state.fingerprint(time, into);
        self.disk.fingerprint(self.durability.synced(), time, into);
        self.durability.fingerprint(time, into);
    }
}
