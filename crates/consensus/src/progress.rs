//! What a leader knows of one follower (nextIndex and matchIndex of the thesis, 3.5).

use crate::in_flight::InFlight;
use crate::outgoing_snapshot::OutgoingSnapshot;
use crate::{Entry, FingerprintTime, Member};
use postbarrow_constants::consensus::VOTER_DEAD_MS;
use std::hash::{Hash, Hasher};

/// A leader's view of one follower.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    pub member: Member,
    /// The follower's log equals the leader's up to here, on disk.
    pub matched: u64,
    /// The next entry to send.
    pub next: u64,
    /// Leader's send time of the newest message that this follower answered.
    pub acknowledged_send_ms: u64,
    /// When its last response arrived.
    pub last_response_ms: u64,
    /// Since when this leader replicates to it.
    pub since_ms: u64,
    /// The snapshot that is sent to it.
    pub snapshot: Option<OutgoingSnapshot>,
    in_flight: InFlight,
    /// `next` is a guess: one frame at a time.
    is_probing: bool,
    /// When `next` was last set back: responses to older frames say nothing of what was sent since.
    /// A confirmation waits for a sync, so it may arrive after refusals of later frames.
    restarted_ms: u64,
}

impl Progress {
    /// Of a follower that has confirmed nothing yet.
    pub fn new(member: Member, next: u64, now_ms: u64) -> Self {
        Progress {
            member,
            matched: 0,
            next,
            acknowledged_send_ms: 0,
            last_response_ms: now_ms,
            since_ms: now_ms,
            snapshot: None,
            in_flight: InFlight::default(),
            is_probing: false,
            restarted_ms: 0,
        }
    }

    /// What later behaviour depends on.
    pub fn fingerprint(&self, time: FingerprintTime, into: &mut impl Hasher) {
        (self.member, self.matched, self.next, self.is_probing).hash(into);
        (time.age(self.acknowledged_send_ms), time.age(self.last_response_ms)).hash(into);
        (time.age(self.since_ms), time.age(self.restarted_ms)).hash(into);
        self.in_flight.hash(into);
        self.snapshot.is_some().hash(into);
        if let Some(snapshot) = &self.snapshot {
            snapshot.fingerprint(time, into);
        }
    }

    /// Whether it responded within the default time after which a voter may be replaced.
    pub fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.last_response_ms + VOTER_DEAD_MS
    }

    /// Milliseconds since its last response.
    pub fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_response_ms)
    }

    /// Whether these entries, which begin at `next`, may be sent now.
    pub fn may_send(&self, entries: &[Entry]) -> bool {
        match self.is_probing {
            true => self.in_flight.is_empty(),
            false => self.in_flight.has_capacity(size_bytes(entries)),
        }
    }

    /// These entries are in flight.
    pub fn on_sent(&mut self, entries: &[Entry]) {
        let Some(last) = entries.last() else { return };
        self.next = last.index + 1;
        self.in_flight.push(last.index, size_bytes(entries));
    }

    /// Any response of this term to a message sent then.
    pub fn on_response(&mut self, now_ms: u64, sent_ms: u64) {
        self.last_response_ms = now_ms;
        self.acknowledged_send_ms = self.acknowledged_send_ms.max(sent_ms);
    }

    /// The follower has all entries up to `matched`, says the response to a frame sent then.
    pub fn on_confirmed(&mut self, matched: u64, sent_ms: u64) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        self.in_flight.confirm(self.matched);
        self.is_probing &= sent_ms < self.restarted_ms;
    }

    /// Whether a refusal answers a frame sent since `next` was last set back.
    pub fn is_current_refusal(&self, sent_ms: u64) -> bool {
        sent_ms >= self.restarted_ms
    }

    /// Entries are sent again from here; what was in flight counts as lost.
    pub fn restart_at(&mut self, next: u64, now_ms: u64) {
        self.next = next;
        self.in_flight.clear();
        self.is_probing = true;
        self.restarted_ms = now_ms;
    }
}

fn size_bytes(entries: &[Entry]) -> u64 {
    entries.iter().map(|entry| entry.size() as u64).sum()
}
