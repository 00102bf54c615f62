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
    cuts: 9,
    freezes: 9,
    proposals: 9,
    hand_overs: 9,
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

    /// Machine 0 leads, all follow it, and its lease is fresh.
    pub fn led() -> Prepared {
        let mut made = Prepared::started();
        made.act(Action::Advance(ELECTION_MIN_MS + ELECTION_SPREAD_MS));
        made.act(Action::Tick(0));
        made.settle();
        made.beat(&[]);
        assert_eq!(made.world.machines[0].node.role(), Role::Leader);
        assert!(made.world.machines[0].node.is_ready());
        made
    }

    pub fn act(&mut self, action: Action) -> &mut Self {
        self.world.perform(&action).expect("a preparation breaks nothing");
        self
    }

    /// Delivers everything that is under way, in the order it was sent.
    pub fn settle(&mut self) -> &mut Self {
        while !self.world.flights.is_empty() {
            self.act(Action::Deliver);
        }
        self
    }

    /// Delivers everything but what the test names; that comes later, or never.
    pub fn settle_but(&mut self, late: impl Fn(&Message) -> bool) -> &mut Self {
        while let Some(flight) = self.world.flights.first() {
            match late(&flight.message) {
                true => self.act(Action::Delay),
                false => self.act(Action::Deliver),
            };
        }
        self
    }

    /// One heartbeat of machine 0, which those machines that are cut off don't get.
    pub fn beat(&mut self, cut: &[usize]) -> &mut Self {
        self.act(Action::Advance(HEARTBEAT_MS)).act(Action::Tick(0));
        while !self.world.flights.is_empty() {
            let to = self.world.flights[0].to.id;
            let off = cut.iter().any(|at| self.world.machines[*at].node.id() == to);
            match off {
                true => drop(self.world.flights.remove(0)),
                false => drop(self.act(Action::Deliver)),
            }
        }
        self
    }

    pub fn with(&self, left: Bounds) -> World {
        World { left, ..self.world.clone() }
    }
}
