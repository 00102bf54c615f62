//! Where the leader grants a member's departure, and what it knows of members that depart. See
//! `departure` for the departing member's part.

use crate::{Consensus, DepartureGranted, DepartureRequest, Member, MemberId, Message};
use postbarrow_constants::consensus::{
    DEPARTING_RETENTION_MS, DISCOVERY_MS, LEARNER_STANDBY_MS, RESPONSIVE_MS,
};

/// Another member that announced its departure.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DepartingMember {
    member: Member,
    /// End of its log at its last announcement.
    last_index: u64,
    announced_ms: u64,
}

impl Consensus {
    /// Another member announces its departure; every member remembers it for a while.
    pub(crate) fn on_departure_request(
        &mut self,
        now_ms: u64,
        from: Member,
        request: DepartureRequest,
    ) {
        let others = &mut self.departures.others;
        others.retain(|_, departing| now_ms < departing.announced_ms + DEPARTING_RETENTION_MS);
        let last_index = request.last_index;
        let departing = DepartingMember { member: from, last_index, announced_ms: now_ms };
        others.insert(from.id, departing);
        self.grant_departures(now_ms);
    }

    /// Grants the departures that the log can do without.
    pub(crate) fn grant_departures(&mut self, now_ms: u64) {
        let others: Vec<DepartingMember> = self.departures.others.values().copied().collect();
        for departing in others {
            let id = departing.member.id;
            if self.is_departing(now_ms, id) && self.may_depart(now_ms, &departing) {
                let grant = DepartureGranted { last_index: departing.last_index };
                self.send(departing.member, Message::DepartureGranted(grant));
            }
        }
    }

    /// All responsive voters that remain have what the departing member has, they are a majority
    /// without it, and no learner waits for its seat.
    fn may_depart(&self, now_ms: u64, departing: &DepartingMember) -> bool {
        if !self.is_ready() || self.log.config_index() > self.commit_index {
            return false;
        }
        let members = self.log.members();
        let required_index = departing.last_index.min(self.log.last_index());
        let remaining = members.iter().filter(|member| {
            member.id != departing.member.id
                && (member.id == self.id || self.is_responsive(now_ms, member.id))
        });
        let (caught_up, lagging): (Vec<&Member>, Vec<&Member>) =
            remaining.partition(|member| self.matched(member.id) >= required_index);
        let has_seat = self.log.is_member(departing.member.id);
        lagging.is_empty()
            && caught_up.len() > members.len() / 2
            && !(has_seat && self.may_learner_wait(now_ms))
    }

    /// Whether a learner responds or just came, or one may exist that has not reached this new
    /// leader yet.
    fn may_learner_wait(&self, now_ms: u64) -> bool {
        let is_waiting = |id: &MemberId| {
            let progress = self.leader_state.progress.get(id);
            let since_ms = progress.map_or(0, |progress| progress.since_ms);
            self.is_responsive(now_ms, *id) || now_ms < since_ms + LEARNER_STANDBY_MS
        };
        now_ms < self.leader_state.elected_ms + 2 * DISCOVERY_MS
            || self.leader_state.learners.keys().any(is_waiting)
    }

    /// Whether this member announced its departure lately.
    pub(crate) fn is_departing(&self, now_ms: u64, id: MemberId) -> bool {
        let departing = self.departures.others.get(&id);
        departing.is_some_and(|departing| now_ms <= departing.announced_ms + RESPONSIVE_MS)
    }

    /// Whether it announced its departure and did not respond since: it is taken for dead without
    /// waiting for `voter_dead_ms`.
    pub(crate) fn has_stopped(&self, now_ms: u64, id: MemberId) -> bool {
        let Some(departing) = self.departures.others.get(&id) else { return false };
        let until_ms = departing.announced_ms + RESPONSIVE_MS;
        let progress = self.leader_state.progress.get(&id);
        let last_response_ms = progress.map_or(u64::MAX, |progress| progress.last_response_ms);
        now_ms > until_ms && last_response_ms <= until_ms
    }
}
