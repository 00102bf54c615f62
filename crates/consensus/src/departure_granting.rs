//! Granting of departures by the leader, and the record of members that announced theirs. See
//! `departure` for the departing member's part.

use crate::{Consensus, DepartureGranted, DepartureRequest, Member, MemberId, Message};
use postbarrow_constants::consensus::{
    DEPARTING_RETENTION_MS, DISCOVERY_MS, LEARNER_STANDBY_MS, RESPONSIVE_MS,
};

/// Another member that announced its departure.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DepartingMember {
    member: Member,
    /// Index of the last entry in the member's log at its last announcement.
    last_index: u64,
    announced_ms: u64,
}

impl Consensus {
    /// Records another member's announcement. Every member remembers it for
    /// `DEPARTING_RETENTION_MS`.
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

    /// Grants the departures of all announced members on which the log no longer depends.
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

    /// Returns whether a member may stop: no membership change is in progress, all responsive voters
    /// that remain have the entries that it has, they are a majority of the voters, and no learner
    /// waits to replace it.
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
            remaining.partition(|member| self.match_index(member.id) >= required_index);
        let is_voter = self.log.is_member(departing.member.id);
        lagging.is_empty()
            && caught_up.len() > members.len() / 2
            && !(is_voter && self.may_have_waiting_learner(now_ms))
    }

    /// Returns whether a learner may be about to replace a voter: it responds, it joined within the
    /// last `LEARNER_STANDBY_MS`, or it may exist without having reached this leader yet, since the
    /// leader was elected less than two `DISCOVERY_MS` ago.
    fn may_have_waiting_learner(&self, now_ms: u64) -> bool {
        let is_waiting = |id: &MemberId| {
            let progress = self.leader_state.progress.get(id);
            let since_ms = progress.map_or(0, |progress| progress.replicating_since_ms);
            self.is_responsive(now_ms, *id) || now_ms < since_ms + LEARNER_STANDBY_MS
        };
        now_ms < self.leader_state.elected_ms + 2 * DISCOVERY_MS
            || self.leader_state.learners.keys().any(is_waiting)
    }

    /// Returns whether a member announced its departure within the last `RESPONSIVE_MS`.
    pub(crate) fn is_departing(&self, now_ms: u64, id: MemberId) -> bool {
        let departing = self.departures.others.get(&id);
        departing.is_some_and(|departing| now_ms <= departing.announced_ms + RESPONSIVE_MS)
    }

    /// Returns whether a member announced its departure more than `RESPONSIVE_MS` ago and has sent
    /// no response since that time passed: it counts as dead without waiting for `voter_dead_ms`.
    pub(crate) fn has_stopped_after_announcement(&self, now_ms: u64, id: MemberId) -> bool {
        let Some(departing) = self.departures.others.get(&id) else { return false };
        let until_ms = departing.announced_ms + RESPONSIVE_MS;
        let progress = self.leader_state.progress.get(&id);
        let last_response_ms = progress.map_or(u64::MAX, |progress| progress.last_response_ms);
        now_ms > until_ms && last_response_ms <= until_ms
    }
}
