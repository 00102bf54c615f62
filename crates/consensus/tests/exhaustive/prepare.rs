//! The initial states of the searches, reached by events in a fixed order.

use crate::actions::{Action, Rules};
use crate::world::*;
use postbarrow_consensus::{Message, Role};
use postbarrow_constants::consensus::*;

/// Returns the rules of a model unless its test changes them.
pub fn rules() -> Rules {
    Rules {
        steps_ms: vec![ELECTION_MIN_MS],
        faults_only_when_idle: true,
        horizon_ms: ELECTION_MIN_MS + LEADER_LEASE_MS + ELECTION_SPREAD_MS,
    }
}

/// Bounds wide enough to prepare any initial state.
const AMPLE_BOUNDS: Bounds = Bounds {
    crashes: 9,
    lost_disks: 9,
    duplicates: 0,
    delays: 200,
    partitions: 9,
    pauses: 9,
    proposals: 9,
    leadership_transfers: 9,
    compactions: 9,
    learners: 9,
    slow_disks: 9,
    advances: 200,
    ticks: 200,
};

pub struct Prepared {
    pub world: World,
}

impl Prepared {
    pub fn started() -> Prepared {
        Prepared { world: World::started(AMPLE_BOUNDS) }
    }

    /// Returns a state in which machine 0 leads, all others follow it, and its lease was just
    /// renewed.
    pub fn with_leader() -> Prepared {
        let mut prepared = Prepared::started();
        prepared.advance_election_timeout();
        prepared.perform(Action::Tick(0));
        prepared.deliver_all();
        prepared.heartbeat(&[]);
        assert_eq!(prepared.world.machines[0].node.role(), Role::Leader);
        assert!(prepared.world.machines[0].node.is_ready());
        prepared
    }

    pub fn perform(&mut self, action: Action) -> &mut Self {
        self.world.perform(&action).expect("a preparation violates no property");
        self
    }

    /// Partitions a machine from all others.
    pub fn isolate(&mut self, at: usize) -> &mut Self {
        self.perform(Action::Isolate(Isolation { at, paused: false }))
    }

    /// Advances all clocks by the longest election timeout.
    pub fn advance_election_timeout(&mut self) -> &mut Self {
        self.perform(Action::Advance(ELECTION_MIN_MS + ELECTION_SPREAD_MS))
    }

    /// Delivers all messages in flight, in the order in which they were sent.
    pub fn deliver_all(&mut self) -> &mut Self {
        while !self.world.in_flight.is_empty() {
            self.perform(Action::Deliver);
        }
        self
    }

    /// Delivers all messages in flight except those for which `is_deferred` returns true, which
    /// arrive later, out of order, or never.
    pub fn deliver_except(&mut self, is_deferred: impl Fn(&Message) -> bool) -> &mut Self {
        while let Some(sent_message) = self.world.in_flight.first() {
            match is_deferred(&sent_message.message) {
                true => self.perform(Action::Delay),
                false => self.perform(Action::Deliver),
            };
        }
        self
    }

    /// Runs one heartbeat interval of machine 0. Messages to the unreachable machines are lost.
    pub fn heartbeat(&mut self, unreachable: &[usize]) -> &mut Self {
        self.perform(Action::Advance(HEARTBEAT_MS)).perform(Action::Tick(0));
        while !self.world.in_flight.is_empty() {
            let to = self.world.in_flight[0].to.id;
            let is_unreachable =
                unreachable.iter().any(|at| self.world.machines[*at].node.id() == to);
            match is_unreachable {
                true => drop(self.world.in_flight.remove(0)),
                false => drop(self.perform(Action::Deliver)),
            }
        }
        self
    }

    /// Returns the prepared state with these bounds for the search.
    pub fn with_bounds(&self, remaining: Bounds) -> World {
        World { remaining, ..self.world.clone() }
    }
}
