//! States that searches begin from, reached by events in a fixed order.

use crate::actions::{Action, Rules};
use crate::world::*;
use postbarrow_consensus::{Message, Role};
use postbarrow_constants::consensus::*;

pub fn rules() -> Rules {
    Rules {
        steps_ms: vec![ELECTION_MIN_MS],
        faults_when_quiet: true,
        horizon_ms: ELECTION_MIN_MS + LEADER_LEASE_MS + ELECTION_SPREAD_MS,
    }
}

/// Bounds wide enough for a preparation.
const AMPLE: Bounds = Bounds {
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
        Prepared { world: World::started(AMPLE) }
    }

    /// Machine 0 leads, all follow it, and its lease was just renewed.
    pub fn with_leader() -> Prepared {
        let mut prepared = Prepared::started();
        prepared.perform(Action::Advance(ELECTION_MIN_MS + ELECTION_SPREAD_MS));
        prepared.perform(Action::Tick(0));
        prepared.deliver_all();
        prepared.heartbeat(&[]);
        assert_eq!(prepared.world.machines[0].node.role(), Role::Leader);
        assert!(prepared.world.machines[0].node.is_ready());
        prepared
    }

    pub fn perform(&mut self, action: Action) -> &mut Self {
        self.world.perform(&action).expect("a preparation breaks nothing");
        self
    }

    /// Delivers everything in flight, in the order it was sent.
    pub fn deliver_all(&mut self) -> &mut Self {
        while !self.world.in_flight.is_empty() {
            self.perform(Action::Deliver);
        }
        self
    }

    /// Delivers everything but what the test names; that arrives later, or never.
    pub fn deliver_except(&mut self, is_deferred: impl Fn(&Message) -> bool) -> &mut Self {
        while let Some(flight) = self.world.in_flight.first() {
            match is_deferred(&flight.message) {
                true => self.perform(Action::Delay),
                false => self.perform(Action::Deliver),
            };
        }
        self
    }

    /// One heartbeat of machine 0, which the unreachable machines don't receive.
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

    pub fn with_bounds(&self, remaining: Bounds) -> World {
        World { remaining, ..self.world.clone() }
    }
}
