//! Identity of a state for searches over many of them: equal fingerprints mean equal behaviour from
//! here on, but for the spread of election timers.

use crate::{Consensus, Message};
use std::hash::{Hash, Hasher};

/// Times are hashed by their distance from now, and those older than the horizon are all alike.
#[derive(Clone, Copy)]
pub struct FingerprintTime {
    pub now_ms: u64,
    pub horizon_ms: u64,
}

impl FingerprintTime {
    pub(crate) fn age(&self, at_ms: u64) -> u64 {
        self.now_ms.saturating_sub(at_ms).min(self.horizon_ms)
    }

    fn until(&self, due_ms: u64) -> u64 {
        due_ms.saturating_sub(self.now_ms)
    }
}

impl Message {
    /// The send time it carries becomes its age; all else is hashed as it stands.
    pub fn fingerprint(&self, moment: FingerprintTime, into: &mut impl Hasher) {
        let mut message = self.clone();
        match &mut message {
            Message::Append(one) => one.sent_ms = moment.age(one.sent_ms),
            Message::AppendResponse(one) => one.sent_ms = moment.age(one.sent_ms),
            Message::Snapshot(one) => one.sent_ms = moment.age(one.sent_ms),
            Message::SnapshotResponse(one) => one.sent_ms = moment.age(one.sent_ms),
            Message::TimeoutNow(one) => one.sent_ms = moment.age(one.sent_ms),
            _ => {}
        }
        message.hash(into);
    }
}

impl Consensus {
    /// All that later behaviour rests on; the random state and the clock offset are left out,
    /// and so is what a planned stop adds, for no search begins one.
    pub fn fingerprint(&self, moment: FingerprintTime, into: &mut impl Hasher) {
        (self.id, self.term, self.voted_for, self.commit_index, self.role, self.leader).hash(into);
        (&self.log, &self.votes, &self.learners, &self.snapshot, &self.incoming).hash(into);
        (self.term_start, self.transferring_leadership, self.self_match, self.voters).hash(into);
        (self.probe_round, &self.non_leaders, &self.denied_leadership, self.leaderless).hash(into);
        (moment.age(self.leader_contact_ms), moment.age(self.started_ms)).hash(into);
        (moment.until(self.election_due_ms), moment.until(self.heartbeat_due_ms)).hash(into);
        moment.until(self.probe_due_ms).hash(into);
        for known in self.progress.values() {
            known.fingerprint(moment, into);
        }
        self.disk.fingerprint(self.synced, moment, into);
        self.fingerprint_writes(moment, into);
    }

    /// Only how far each write is ahead of the newest sync matters, not its number.
    fn fingerprint_writes(&self, moment: FingerprintTime, into: &mut impl Hasher) {
        (self.sequence - self.synced).hash(into);
        for (wrote, last) in &self.appended {
            (wrote.saturating_sub(self.synced), last).hash(into);
        }
        self.after_sync.fingerprint(self.synced, moment, into);
    }
}
