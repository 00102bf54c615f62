//! Fingerprints of a member's state, for searches over many states: equal fingerprints mean equal
//! behaviour from there on, except for the random part of election timeouts.

use crate::{Consensus, Message};
use std::hash::{Hash, Hasher};

/// The time at which a state is fingerprinted. Other times are hashed by their distance from it,
/// and all times older than the horizon have the same hash.
#[derive(Clone, Copy)]
pub struct FingerprintTime {
    /// Time of the state, in milliseconds.
    pub now_ms: u64,
    /// Age in milliseconds from which times are no longer distinguished.
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
    /// Hashes the message, with its send time replaced by an age and everything else unchanged.
    pub fn fingerprint(&self, time: FingerprintTime, hasher: &mut impl Hasher) {
        let mut message = self.clone();
        match &mut message {
            Message::Append(append) => append.sent_ms = time.age(append.sent_ms),
            Message::AppendResponse(response) => response.sent_ms = time.age(response.sent_ms),
            Message::Snapshot(chunk) => chunk.sent_ms = time.age(chunk.sent_ms),
            Message::SnapshotResponse(response) => response.sent_ms = time.age(response.sent_ms),
            Message::TimeoutNow(request) => request.sent_ms = time.age(request.sent_ms),
            _ => {}
        }
        message.hash(hasher);
    }
}

impl Consensus {
    /// Hashes everything that later behaviour depends on, except for the state of the random
    /// generator, the clock difference to the leader, and the state of departures, which no search
    /// begins.
    pub fn fingerprint(&self, time: FingerprintTime, hasher: &mut impl Hasher) {
        (self.id, self.term, self.voted_for, self.commit_index, self.role, self.can_lead)
            .hash(hasher);
        (&self.log, &self.snapshot, &self.incoming_snapshot, self.voter_policy.target_voters)
            .hash(hasher);
        self.election.fingerprint(time, hasher);
        self.probe.fingerprint(time, hasher);
        self.contact.fingerprint(time, hasher);
        self.leader_state.fingerprint(time, hasher);
        self.disk.fingerprint(self.durability.last_synced(), time, hasher);
        self.durability.fingerprint(time, hasher);
    }
}
