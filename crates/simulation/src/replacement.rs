//! Core machines are lost or replaced one after another, each as soon as the bounds allow.

use crate::control::ControlMachine;
use crate::scenario::{RunResult, finish, recover};
use crate::steps::read_back;
use crate::world::{World, address};

/// Replacements back to back, and a last loss right after the time to catch up.
#[derive(Clone, Copy, Debug)]
pub struct Replacement {
    pub seed: u64,
    /// Losses to bear at once; the core has twice as many machines and one.
    pub losses: usize,
    /// The newcomer starts first, and the old process is asked to stop.
    pub planned: bool,
    /// The controller itself is among those that go.
    pub leader: bool,
    /// The first newcomer of each round dies half-way, and another comes.
    pub newcomer_dies: bool,
    /// The newcomers' seeds are all those that go.
    pub seeds_depart: bool,
    pub rounds: usize,
}

#[derive(Debug, Default)]
pub struct ReplacementResult {
    pub result: RunResult,
    /// From the newcomers' start until all of them vote, in each round.
    pub vote_ms: Vec<u64>,
    /// From the last loss, of the controller among others, until another leads.
    pub leader_ms: u64,
}

/// An empty machine comes so long after a loss that was not planned.
const NEWCOMER_US: u64 = 1_000_000;
/// A planned replacement's old process is asked to stop so long after the new one began.
const OVERLAP_US: u64 = 1_000_000;
/// A newcomer that dies half-way has lived so long.
const HALF_WAY_US: u64 = 700_000;
/// A request comes every so often: enough to see each node served.
const REQUEST_PAUSE_US: u64 = 100_000;
const LOOK_US: u64 = 20_000;
/// Nobody leads any more if nobody does by then.
const MAX_LEADERLESS_US: u64 = 10_000_000;
const GROWTH_US: u64 = 2_000_000;

impl Replacement {
    /// Time to catch up: that of a small deployment and of a grown one.
    pub fn catch_up_ms(&self) -> u64 {
        if self.losses > 1 { 6_000 } else { 4_000 }
    }

    pub fn run(&self) -> ReplacementResult {
        let mut world = World::new(self.seed, 2, 9);
        world.set_quorum_bounds(self.losses, self.catch_up_ms() / 2);
        world.request_pause_us = REQUEST_PAUSE_US;
        world.run_until(6_000_000);
        while world.control.len() < 2 * self.losses + 1 {
            world.add_control();
            world.run_for(GROWTH_US);
        }
        let mut replacement_result = ReplacementResult::default();
        for _ in 0..self.rounds {
            let vote_ms = self.replace_once(&mut world);
            replacement_result.vote_ms.push(vote_ms);
        }
        world.quiet = true;
        world.control_voters(true).into_iter().take(self.losses).for_each(|at| world.retire(at));
        replacement_result.leader_ms = world.until_led();
        replacement_result.result.recovery_ms = recover(&mut world);
        read_back(&mut world, &mut replacement_result.result, " after the last loss");
        finish(&mut world, &mut replacement_result.result);
        replacement_result
    }

    /// One replacement and the time to catch up.
    fn replace_once(&self, world: &mut World) -> u64 {
        let count = if self.planned { 1 } else { self.losses };
        let departed: Vec<usize> =
            world.control_voters(self.leader).into_iter().take(count).collect();
        if !self.planned {
            departed.iter().for_each(|at| world.retire(*at));
            world.run_for(NEWCOMER_US);
        }
        if self.seeds_depart {
            world.control_seeds_only = true;
            world.seeds = vec![world.control[departed[0]].address; 3];
        }
        let mut newcomers: Vec<usize> = departed.iter().map(|_| world.add_control()).collect();
        if self.newcomer_dies {
            world.run_for(HALF_WAY_US);
            world.retire(newcomers[0]);
            newcomers[0] = world.add_control();
        }
        let since_us = world.now_us;
        if self.planned {
            world.run_for(OVERLAP_US);
            departed.iter().for_each(|at| world.stop_for_good(*at));
        }
        let until_us = since_us + self.catch_up_ms() * 1_000;
        let mut vote_ms = u64::MAX;
        while world.now_us < until_us {
            if vote_ms == u64::MAX && world.are_committed(&newcomers, &departed) {
                vote_ms = (world.now_us - since_us) / 1_000;
            }
            world.run_for(LOOK_US);
        }
        vote_ms
    }
}

impl World {
    /// What the deployment says of its core.
    pub fn set_quorum_bounds(&mut self, losses: usize, voter_dead_ms: u64) {
        self.losses = losses;
        self.voter_dead_ms = voter_dead_ms;
        for machine in &mut self.control {
            let node = machine.node.take();
            machine.node = node.map(|node| node.with_losses(losses).with_voter_dead(voter_dead_ms));
        }
    }

    /// An empty core machine at a new address; its place among all.
    pub fn add_control(&mut self) -> usize {
        self.add_control_machine(false)
    }

    /// A control machine without a disk, which passes requests on and is never a member.
    pub fn add_observer(&mut self) -> usize {
        self.add_control_machine(true)
    }

    fn add_control_machine(&mut self, observer: bool) -> usize {
        let at = self.control.len();
        let (offset_ms, rate) = (self.random.below(1_000_000), self.random.below(11));
        let mut machine = ControlMachine::new(address(1, 100 + at, 1), offset_ms, rate);
        machine.observer = observer;
        self.control.push(machine);
        self.start_control(at);
        at
    }

    fn until_led(&mut self) -> u64 {
        let since_us = self.now_us;
        while self.leader().is_none() && self.now_us < since_us + MAX_LEADERLESS_US {
            self.run_for(LOOK_US);
        }
        (self.now_us - since_us) / 1_000
    }

    fn run_for(&mut self, for_us: u64) {
        self.run_until(self.now_us + for_us);
    }

    /// This machine is gone for good, at once.
    fn retire(&mut self, at: usize) {
        self.control[at].retired_us = Some(self.now_us);
        self.end_control(at, true);
    }

    /// This process is asked to stop, and won't begin again.
    fn stop_for_good(&mut self, at: usize) {
        self.control[at].retired_us = Some(self.now_us);
        self.rolling_restart_control(at);
    }

    /// Places of the living voters, the controller first or not at all.
    fn control_voters(&self, with_leader: bool) -> Vec<usize> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let node = self.control[leader].node.as_ref().expect("a leader lives");
        let members = node.consensus().members();
        let votes = |at: &usize| {
            let node = self.control[*at].node.as_ref();
            node.is_some_and(|node| members.iter().any(|one| one.id == node.consensus().id()))
        };
        let others = (0..self.control.len()).filter(|at| *at != leader).filter(votes);
        with_leader.then_some(leader).into_iter().chain(others).collect()
    }

    /// The leader knows it committed that these vote, and those no longer do.
    fn are_committed(&self, newcomers: &[usize], departed: &[usize]) -> bool {
        let Some(node) = self.leader().and_then(|at| self.control[at].node.as_ref()) else {
            return false;
        };
        let log = node.consensus();
        let votes = |at: &usize| {
            let address = self.control[*at].address;
            log.members().iter().any(|member| member.address == address)
        };
        let is_committed = log.log().config_index() <= log.commit_index();
        is_committed && newcomers.iter().all(votes) && !departed.iter().any(votes)
    }
}
