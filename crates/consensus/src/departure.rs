//! Departure of this member before a planned stop. It announces its departure to all members, and
//! the leader replaces it as a voter by a caught-up learner, if there is one. It may stop once the
//! remaining members have all entries that it acknowledged. See `departure_granting` for the
//! leader's part.

use crate::departure_granting::DepartingMember;
use crate::{
    AppendRequest, Consensus, DepartureGranted, DepartureRequest, MemberId, Message, Role,
};
use postbarrow_constants::consensus::{HEARTBEAT_MS, RESPONSIVE_MS};
use std::collections::BTreeMap;

/// The departures of this member and of other members.
#[derive(Clone, Debug)]
pub(crate) struct Departures {
    own: Departure,
    announce_due_ms: u64,
    /// Other members that announced their departure.
    pub others: BTreeMap<MemberId, DepartingMember>,
}

impl Departures {
    /// Returns the state in which no member departs.
    pub fn new(now_ms: u64) -> Self {
        Departures {
            own: Departure::NotRequested,
            announce_due_ms: now_ms,
            others: BTreeMap::new(),
        }
    }
}

/// Progress of this member's own departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    NotRequested,
    /// The departure is announced to all members. This member still acknowledges entries, since the
    /// log may need it.
    Announced,
    /// A grant arrived that does not cover this member's last entry. It has acknowledged nothing
    /// since then, so that its log no longer grows.
    Quiesced {
        since_ms: u64,
    },
    Completed,
}

impl Departure {
    fn is_pending(self) -> bool {
        matches!(self, Departure::Announced | Departure::Quiesced { .. })
    }
}

impl Consensus {
    /// Starts this member's departure. A leader transfers leadership first; see
    /// [`Input::TransferLeadership`](crate::Input::TransferLeadership).
    pub(crate) fn depart(&mut self, now_ms: u64) {
        if self.departures.own != Departure::NotRequested {
            return;
        }
        self.departures.own = match self.log.is_member(self.id) {
            true => Departure::Announced,
            false => Departure::Completed,
        };
        self.departure_tick(now_ms);
    }

    /// Returns whether this member's departure is complete: the log no longer depends on it.
    pub fn has_departed(&self) -> bool {
        self.departures.own == Departure::Completed
    }

    /// Repeats the announcement. A member that stopped acknowledging entries, but whose departure
    /// was not granted within `RESPONSIVE_MS`, acknowledges entries again.
    pub(crate) fn departure_tick(&mut self, now_ms: u64) {
        if let Departure::Quiesced { since_ms } = self.departures.own
            && now_ms > since_ms + RESPONSIVE_MS
        {
            self.departures.own = Departure::Announced;
        }
        let is_due = now_ms >= self.departures.announce_due_ms;
        if self.departures.own.is_pending() && self.role != Role::Leader && is_due {
            self.announce_departure(now_ms);
        }
    }

    /// Announces the departure to every other voter, so that a new leader knows of it too.
    fn announce_departure(&mut self, now_ms: u64) {
        self.departures.announce_due_ms = now_ms + HEARTBEAT_MS;
        let request = DepartureRequest { last_index: self.log.last_index() };
        for to in self.peers() {
            self.send(to, Message::DepartureRequest(request));
        }
    }

    /// Returns whether this member ignores an append because its departure is quiesced or complete:
    /// it acknowledges nothing more in its term. An append of a newer term is still handled.
    pub(crate) fn ignores_append(&self, append: &AppendRequest) -> bool {
        let is_quiesced =
            matches!(self.departures.own, Departure::Quiesced { .. } | Departure::Completed);
        is_quiesced && append.term <= self.term
    }

    /// Handles the leader's permission to stop. If it covers this member's last entry, the
    /// departure is complete. Otherwise this member stops acknowledging entries, so that its log no
    /// longer grows, and announces its last index again.
    pub(crate) fn on_departure_granted(&mut self, now_ms: u64, grant: DepartureGranted) {
        if self.role == Role::Leader || !self.departures.own.is_pending() {
            return;
        }
        if grant.last_index >= self.log.last_index() {
            self.departures.own = Departure::Completed;
        } else if self.departures.own == Departure::Announced {
            self.departures.own = Departure::Quiesced { since_ms: now_ms };
            self.announce_departure(now_ms);
        }
    }
}
