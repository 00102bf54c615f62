//! What a leader knows of each follower.

use crate::inflight::InFlight;
use crate::snapshot_transfer::OutgoingSnapshot;
use crate::{Entry, FingerprintTime, Member};
use postbarrow_constants::consensus::VOTER_DEAD_MS;
use std::hash::{Hash, Hasher};

/// What a leader knows of one follower.
#[derive(Clone, Debug)]
pub struct Progress {
    pub member: Member,
    pub matched: u64,
    pub next: u64,
    /// Leader's send time of the newest frame this follower answered.
    pub acknowledged_send_ms: u64,
    pub last_response_ms: u64,
    /// Since when this one is followed.
    pub since_ms: u64,
    pub(crate) sending: Option<OutgoingSnapshot>,
    in_flight: InFlight,
    /// `next` is a guess: one frame at a time.
    probing: bool,
    /// When `next` was last set back: answers to older frames tell nothing of what went since. A
    /// confirmation waits for a sync, so it may come after refusals of later frames.
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
            sending: None,
            in_flight: InFlight::default(),
            probing: false,
            restarted_ms: 0,
        }
    }

    /// What later behaviour rests on, for searches over many states.
    pub(crate) fn fingerprint(&self, moment: FingerprintTime, into: &mut impl Hasher) {
        (self.member, self.matched, self.next, self.probing).hash(into);
        (moment.age(self.acknowledged_send_ms), moment.age(self.last_response_ms)).hash(into);
        (moment.age(self.since_ms), moment.age(self.restarted_ms)).hash(into);
        self.in_flight.hash(into);
        self.sending.is_some().hash(into);
        if let Some(sending) = &self.sending {
            sending.fingerprint(moment, into);
        }
    }

    /// Heard within the time after which a voter may be replaced.
    pub(crate) fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.last_response_ms + VOTER_DEAD_MS
    }

    /// Whether these entries, which begin at `next`, may go now.
    pub(crate) fn may_send(&self, entries: &[Entry]) -> bool {
        match self.probing {
            true => self.in_flight.is_empty(),
            false => self.in_flight.has_room(size_bytes(entries)),
        }
    }

    /// These entries are under way.
    pub(crate) fn sent(&mut self, entries: &[Entry]) {
        let Some(last) = entries.last() else { return };
        self.next = last.index + 1;
        self.in_flight.sent(last.index, size_bytes(entries));
    }

    /// The follower has all entries up to `matched`, it says of a frame sent then.
    pub(crate) fn confirmed(&mut self, matched: u64, sent_ms: u64) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        self.in_flight.confirmed(self.matched);
        self.probing &= sent_ms < self.restarted_ms;
    }

    /// Whether a refusal answers what was sent since the last one was heeded.
    pub(crate) fn heeds_refusal(&self, sent_ms: u64) -> bool {
        sent_ms >= self.restarted_ms
    }

    /// Entries go anew from here; what was under way counts as lost.
    pub(crate) fn restart_at(&mut self, next: u64, now_ms: u64) {
        self.next = next;
        self.in_flight.clear();
        self.probing = true;
        self.restarted_ms = now_ms;
    }
}

fn size_bytes(entries: &[Entry]) -> u64 {
    entries.iter().map(|entry| entry.size() as u64).sum()
}
