//! A member that is asked to stop: it says so, the leader gives its seat to a learner that stands
//! ready, and it ends once those that stay hold all that it acknowledged.

use crate::*;
use postbarrow_constants::consensus::*;

/// Another member that said it is about to end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leaver {
    member: Member,
    /// End of its log when it said so.
    last: u64,
    announced_ms: u64,
}

/// How far this member's own leaving has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Leave {
    Staying,
    /// Said so to all; it goes on acknowledging entries, for the log may need it.
    Announced,
    /// The others can do without it: it acknowledges nothing more since then.
    Sealed {
        since_ms: u64,
    },
    Done,
}

impl Consensus {
    /// This member is asked to stop. A leader first hands over; see `Input::HandOver`.
    pub(crate) fn leave(&mut self, now_ms: u64) {
        if self.leave != Leave::Staying {
            return;
        }
        self.leave = match self.log.is_member(self.id) {
            true => Leave::Announced,
            false => Leave::Done,
        };
        self.leave_tick(now_ms);
    }

    /// Asked to stop, and nothing rests on this member any more.
    pub fn has_left(&self) -> bool {
        self.leave == Leave::Done
    }

    pub(crate) fn leave_tick(&mut self, now_ms: u64) {
        if let Leave::Sealed { since_ms } = self.leave
            && now_ms > since_ms + HEARD_LATELY_MS
        {
            self.leave = Leave::Announced;
        }
        let asks = !matches!(self.leave, Leave::Staying | Leave::Done);
        if asks && self.role != Role::Leader && now_ms >= self.announce_due_ms {
            self.announce(now_ms);
        }
    }

    /// Every member hears it, so that a new leader knows it too.
    fn announce(&mut self, now_ms: u64) {
        self.announce_due_ms = now_ms + HEARTBEAT_MS;
        let leaving = Leaving { last: self.log.last() };
        for to in self.others() {
            self.send(to, Message::Leaving(leaving));
        }
    }

    /// What it acknowledged is all it will; only a newer term can tell it more.
    pub(crate) fn withholds(&self, append: &Append) -> bool {
        let sealed = matches!(self.leave, Leave::Sealed { .. } | Leave::Done);
        sealed && append.term <= self.term
    }

    pub(crate) fn on_may_leave(&mut self, now_ms: u64, got: MayLeave) {
        if self.role == Role::Leader || matches!(self.leave, Leave::Staying | Leave::Done) {
            return;
        }
        if got.last >= self.log.last() {
            self.leave = Leave::Done;
        } else if self.leave == Leave::Announced {
            self.leave = Leave::Sealed { since_ms: now_ms };
            self.announce(now_ms);
        }
    }

    pub(crate) fn on_leaving(&mut self, now_ms: u64, from: Member, leaving: Leaving) {
        self.leavers.retain(|_, known| now_ms < known.announced_ms + LEAVERS_KEEP_MS);
        let leaver = Leaver { member: from, last: leaving.last, announced_ms: now_ms };
        self.leavers.insert(from.id, leaver);
        self.answer_leavers(now_ms);
    }

    /// Tells those that are leaving that they may end, once they may.
    pub(crate) fn answer_leavers(&mut self, now_ms: u64) {
        let leavers: Vec<Leaver> = self.leavers.values().copied().collect();
        for leaver in leavers {
            if self.is_leaving(now_ms, leaver.member.id) && self.may_end(now_ms, &leaver) {
                let last = leaver.last;
                self.send(leaver.member, Message::MayLeave(MayLeave { last }));
            }
        }
    }

    /// All living voters that stay hold what the leaver held, they are a majority without it, and
    /// its seat is given to whoever waits for one.
    fn may_end(&self, now_ms: u64, leaver: &Leaver) -> bool {
        if !self.is_ready() || self.log.config_index() > self.commit {
            return false;
        }
        let members = self.log.members();
        let wanted = leaver.last.min(self.log.last());
        let living = members.iter().filter(|one| {
            one.id != leaver.member.id && (one.id == self.id || self.is_heard(now_ms, one.id))
        });
        let (hold, lack): (Vec<&Member>, Vec<&Member>) =
            living.partition(|one| self.matched(one.id) >= wanted);
        let seated = self.log.is_member(leaver.member.id);
        lack.is_empty() && hold.len() > members.len() / 2 && !(seated && self.learner_waits(now_ms))
    }

    fn matched(&self, id: MemberId) -> u64 {
        match self.progress.get(&id) {
            _ if id == self.id => self.self_match,
            Some(known) => known.matched,
            None => 0,
        }
    }

    /// A learner is here, or one may be that has not greeted this new leader yet.
    fn learner_waits(&self, now_ms: u64) -> bool {
        let here = |id: &MemberId| {
            let since_ms = self.progress.get(id).map_or(0, |known| known.since_ms);
            self.is_heard(now_ms, *id) || now_ms < since_ms + LEARNER_SETTLE_MS
        };
        now_ms < self.led_since_ms + 2 * GREET_MS || self.learners.keys().any(here)
    }

    /// It says so now.
    pub(crate) fn is_leaving(&self, now_ms: u64, id: MemberId) -> bool {
        let known = self.leavers.get(&id);
        known.is_some_and(|known| now_ms <= known.announced_ms + HEARD_LATELY_MS)
    }

    /// It said so, and was not heard since: its silence needs no longer proof.
    pub(crate) fn is_gone(&self, now_ms: u64, id: MemberId) -> bool {
        let Some(known) = self.leavers.get(&id) else { return false };
        let until_ms = known.announced_ms + HEARD_LATELY_MS;
        let heard_ms = self.progress.get(&id).map_or(u64::MAX, |progress| progress.heard_ms);
        now_ms > until_ms && heard_ms <= until_ms
    }
}
