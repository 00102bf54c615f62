//! State that a leader keeps for each follower (nextIndex and matchIndex of the thesis, 3.5).

use crate::in_flight::InFlight;
use crate::outgoing_snapshot::OutgoingSnapshot;
use crate::{Entry, FingerprintTime, Member};
use postbarrow_constants::consensus::VOTER_DEAD_MS;
use std::hash::{Hash, Hasher};

/// A leader's state of one follower, which is a voter or a learner.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    pub member: Member,
    /// Index up to which the follower's log is known to equal the leader's and to be on disk.
    pub match_index: u64,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Leader's send time of the newest message that this follower answered, or zero.
    pub acknowledged_send_ms: u64,
    /// When the follower's last response arrived; before the first one, when replication to it
    /// began.
    pub last_response_ms: u64,
    /// Time since which this leader replicates to the follower.
    pub replicating_since_ms: u64,
    /// The transfer of a snapshot to the follower, while one is in progress.
    pub snapshot_transfer: Option<OutgoingSnapshot>,
    in_flight: InFlight,
    /// Whether `next_index` is a guess, because no message sent since it was set back has been
    /// confirmed: only one frame of entries may then be in flight.
    is_probing: bool,
    /// When `next_index` was last set back. Responses to frames sent earlier show nothing about
    /// frames sent since. A confirmation waits for a sync, so it may arrive after refusals of
    /// frames that were sent later.
    restarted_ms: u64,
}

impl Progress {
    /// Returns the state of a follower that has confirmed nothing yet.
    pub fn new(member: Member, next_index: u64, now_ms: u64) -> Self {
        Progress {
            member,
            match_index: 0,
            next_index,
            acknowledged_send_ms: 0,
            last_response_ms: now_ms,
            replicating_since_ms: now_ms,
            snapshot_transfer: None,
            in_flight: InFlight::default(),
            is_probing: false,
            restarted_ms: 0,
        }
    }

    /// Hashes the state that later behaviour depends on.
    pub fn fingerprint(&self, time: FingerprintTime, hasher: &mut impl Hasher) {
        (self.member, self.match_index, self.next_index, self.is_probing).hash(hasher);
        (time.age(self.acknowledged_send_ms), time.age(self.last_response_ms)).hash(hasher);
        (time.age(self.replicating_since_ms), time.age(self.restarted_ms)).hash(hasher);
        self.in_flight.hash(hasher);
        self.snapshot_transfer.is_some().hash(hasher);
        if let Some(transfer) = &self.snapshot_transfer {
            transfer.fingerprint(time, hasher);
        }
    }

    /// Returns whether the follower responded within `VOTER_DEAD_MS`, the default time after which
    /// a voter may be replaced.
    pub fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.last_response_ms + VOTER_DEAD_MS
    }

    /// Returns the milliseconds since the follower's last response.
    pub fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_response_ms)
    }

    /// Returns whether these entries, of which the first is at `next_index`, may be sent now.
    pub fn may_send(&self, entries: &[Entry]) -> bool {
        match self.is_probing {
            true => self.in_flight.is_empty(),
            false => self.in_flight.has_capacity(size_bytes(entries)),
        }
    }

    /// Records that these entries were sent and are in flight.
    pub fn on_sent(&mut self, entries: &[Entry]) {
        let Some(last) = entries.last() else { return };
        self.next_index = last.index + 1;
        self.in_flight.push(last.index, size_bytes(entries));
    }

    /// Records a response of this term, of any kind, to a message that was sent at `sent_ms`.
    pub fn on_response(&mut self, now_ms: u64, sent_ms: u64) {
        self.last_response_ms = now_ms;
        self.acknowledged_send_ms = self.acknowledged_send_ms.max(sent_ms);
    }

    /// Records that the follower has all entries up to `match_index` on disk, according to its
    /// response to a message that was sent at `sent_ms`.
    pub fn on_confirmed(&mut self, match_index: u64, sent_ms: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.in_flight.confirm(self.match_index);
        self.is_probing &= sent_ms < self.restarted_ms;
    }

    /// Returns whether a refused frame, sent at `sent_ms`, was sent since `next_index` was last set
    /// back.
    pub fn is_current_refusal(&self, sent_ms: u64) -> bool {
        sent_ms >= self.restarted_ms
    }

    /// Sets `next_index` so that entries are sent from there; frames in flight count as lost.
    pub fn restart_at(&mut self, next_index: u64, now_ms: u64) {
        self.next_index = next_index;
        self.in_flight.clear();
        self.is_probing = true;
        self.restarted_ms = now_ms;
    }
}

fn size_bytes(entries: &[Entry]) -> u64 {
    entries.iter().map(|entry| entry.size_bytes() as u64).sum()
}
