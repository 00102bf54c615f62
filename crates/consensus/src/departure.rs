//! How this member departs before a planned stop: it announces it to all members, the leader gives
//! its seat to a caught-up learner, and it may stop once the remaining members have all that it
//! acknowledged. See `departure_granting` for the leader's part.

use crate::departure_granting::DepartingMember;
use crate::{
    AppendRequest, Consensus, DepartureGranted, DepartureRequest, MemberId, Message, Role,
};
use postbarrow_constants::consensus::{HEARTBEAT_MS, RESPONSIVE_MS};
use std::collections::BTreeMap;

/// The departures of this member and of others.
#[derive(Clone, Debug)]
pub(crate) struct Departures {
    own: Departure,
    announce_due_ms: u64,
    /// Other members that announced theirs.
    pub others: BTreeMap<MemberId, DepartingMember>,
}

impl Departures {
    /// Nobody departs.
    pub fn new(now_ms: u64) -> Self {
        Departures { own: Departure::Staying, announce_due_ms: now_ms, others: BTreeMap::new() }
    }
}

/// How far this member's own departure has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    Staying,
    /// Announced to all; this member continues to acknowledge entries, since the log may need it.
    Announced,
    /// The others can do without it: it acknowledges nothing more since then.
    Sealed {
        since_ms: u64,
    },
    Done,
}

impl Departure {
    fn is_pending(self) -> bool {
        matches!(self, Departure::Announced | Departure::Sealed { .. })
    }
}

impl Consensus {
    /// This member is about to stop. A leader transfers leadership first; see
    /// [`Input::TransferLeadership`](crate::Input::TransferLeadership).
    pub(crate) fn depart(&mut self, now_ms: u64) {
        if self.departures.own != Departure::Staying {
            return;
        }
        self.departures.own = match self.log.is_member(self.id) {
            true => Departure::Announced,
            false => Departure::Done,
        };
        self.departure_tick(now_ms);
    }

    /// Whether this member was to depart, and the log does not depend on it any more.
    pub fn has_departed(&self) -> bool {
        self.departures.own == Departure::Done
    }

    /// Repeats the announcement; a seal that no grant followed is undone.
    pub(crate) fn departure_tick(&mut self, now_ms: u64) {
        if let Departure::Sealed { since_ms } = self.departures.own
            && now_ms > since_ms + RESPONSIVE_MS
        {
            self.departures.own = Departure::Announced;
        }
        let is_due = now_ms >= self.departures.announce_due_ms;
        if self.departures.own.is_pending() && self.role != Role::Leader && is_due {
            self.announce_departure(now_ms);
        }
    }

    /// To every member, so that a new leader knows it too.
    fn announce_departure(&mut self, now_ms: u64) {
        self.departures.announce_due_ms = now_ms + HEARTBEAT_MS;
        let request = DepartureRequest { last_index: self.log.last_index() };
        for to in self.peers() {
            self.send(to, Message::DepartureRequest(request));
        }
    }

    /// A sealed member acknowledges nothing more in its term; only a newer term may unseal it.
    pub(crate) fn is_sealed_against(&self, append: &AppendRequest) -> bool {
        let is_sealed = matches!(self.departures.own, Departure::Sealed { .. } | Departure::Done);
        is_sealed && append.term <= self.term
    }

    /// The first grant seals this member, and it announces its final log end; a grant that covers
    /// that end completes the departure.
    pub(crate) fn on_departure_granted(&mut self, now_ms: u64, grant: DepartureGranted) {
        if self.role == Role::Leader || !self.departures.own.is_pending() {
            return;
        }
        if grant.last_index >= self.log.last_index() {
            self.departures.own = Departure::Done;
        } else if self.departures.own == Departure::Announced {
            self.departures.own = Departure::Sealed { since_ms: now_ms };
            self.announce_departure(now_ms);
        }
    }
}
