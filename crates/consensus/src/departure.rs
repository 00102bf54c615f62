//! A member that is asked to stop: it says so, the leader gives its seat to a learner that stands
//! ready, and it ends once those that stay hold all that it acknowledged.

use crate::*;
use postbarrow_constants::consensus::*;

/// Another member that said it is about to end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DepartingMember {
    member: Member,
    /// End of its log when it said so.
    last: u64,
    announced_ms: u64,
}

/// How far this member's own leaving has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Departure {
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
        if self.departure != Departure::Staying {
            return;
        }
        self.departure = match self.log.is_member(self.id) {
            true => Departure::Announced,
            false => Departure::Done,
        };
        self.leave_tick(now_ms);
    }

    /// Asked to stop, and nothing rests on this member any more.
    pub fn has_left(&self) -> bool {
        self.departure == Departure::Done
    }

    pub(crate) fn leave_tick(&mut self, now_ms: u64) {
        if let Departure::Sealed { since_ms } = self.departure
            && now_ms > since_ms + RESPONSIVE_MS
        {
            self.departure = Departure::Announced;
        }
        let asks = !matches!(self.departure, Departure::Staying | Departure::Done);
        if asks && self.role != Role::Leader && now_ms >= self.announce_due_ms {
            self.announce(now_ms);
        }
    }

    /// Every member hears it, so that a new leader knows it too.
    fn announce(&mut self, now_ms: u64) {
        self.announce_due_ms = now_ms + HEARTBEAT_MS;
        let leaving = DepartureRequest { last_index: self.log.last_index() };
        for to in self.others() {
            self.send(to, Message::DepartureRequest(leaving));
        }
    }

    /// What it acknowledged is all it will; only a newer term can tell it more.
    pub(crate) fn withholds(&self, append: &AppendRequest) -> bool {
        let sealed = matches!(self.departure, Departure::Sealed { .. } | Departure::Done);
        sealed && append.term <= self.term
    }

    pub(crate) fn on_may_leave(&mut self, now_ms: u64, got: DepartureGranted) {
        if self.role == Role::Leader
            || matches!(self.departure, Departure::Staying | Departure::Done)
        {
            return;
        }
        if got.last_index >= self.log.last_index() {
            self.departure = Departure::Done;
        } else if self.departure == Departure::Announced {
            self.departure = Departure::Sealed { since_ms: now_ms };
            self.announce(now_ms);
        }
    }

    pub(crate) fn on_leaving(&mut self, now_ms: u64, from: Member, leaving: DepartureRequest) {
        self.departing.retain(|_, known| now_ms < known.announced_ms + DEPARTING_RETENTION_MS);
        let leaver =
            DepartingMember { member: from, last: leaving.last_index, announced_ms: now_ms };
        self.departing.insert(from.id, leaver);
        self.answer_leavers(now_ms);
    }

    /// Tells those that are leaving that they may end, once they may.
    pub(crate) fn answer_leavers(&mut self, now_ms: u64) {
        let leavers: Vec<DepartingMember> = self.departing.values().copied().collect();
        for leaver in leavers {
            if self.is_leaving(now_ms, leaver.member.id) && self.may_end(now_ms, &leaver) {
                let last = leaver.last;
                self.send(
                    leaver.member,
                    Message::DepartureGranted(DepartureGranted { last_index: last }),
                );
            }
        }
    }

    /// All living voters that stay hold what the leaver held, they are a majority without it, and
    /// its seat is given to whoever waits for one.
    fn may_end(&self, now_ms: u64, leaver: &DepartingMember) -> bool {
        if !self.is_ready() || self.log.config_index() > self.commit_index {
            return false;
        }
        let members = self.log.members();
        let wanted = leaver.last.min(self.log.last_index());
        let living = members.iter().filter(|one| {
            one.id != leaver.member.id && (one.id == self.id || self.is_responsive(now_ms, one.id))
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
            self.is_responsive(now_ms, *id) || now_ms < since_ms + LEARNER_STANDBY_MS
        };
        now_ms < self.led_since_ms + 2 * DISCOVERY_MS || self.learners.keys().any(here)
    }

    /// It says so now.
    pub(crate) fn is_leaving(&self, now_ms: u64, id: MemberId) -> bool {
        let known = self.departing.get(&id);
        known.is_some_and(|known| now_ms <= known.announced_ms + RESPONSIVE_MS)
    }

    /// It said so, and was not heard since: its silence needs no longer proof.
    pub(crate) fn is_gone(&self, now_ms: u64, id: MemberId) -> bool {
        let Some(known) = self.departing.get(&id) else { return false };
        let until_ms = known.announced_ms + RESPONSIVE_MS;
        let heard_ms =
            self.progress.get(&id).map_or(u64::MAX, |progress| progress.last_response_ms);
        now_ms > until_ms && heard_ms <= until_ms
    }
}
