//! Control machines are lost or replaced one after another, each as soon as the bounds allow.

use crate::scenario::{RunResult, finish, read_back, recover};
use crate::world::World;

/// Replacements back to back, then a last loss right after the time to catch up.
#[derive(Clone, Copy, Debug)]
pub struct Replacement {
    /// The run's seed.
    pub seed: u64,
    /// Losses to tolerate at once; the group has twice as many machines and one more.
    pub losses: usize,
    /// The new machine starts first, and the old process shuts down gracefully.
    pub planned: bool,
    /// The leader is among the replaced machines.
    pub leader: bool,
    /// The first new machine of each replacement is lost while it joins, and another starts.
    pub newcomer_dies: bool,
    /// The new machines' seeds are the replaced machines only.
    pub seeds_depart: bool,
    /// How many replacements follow each other.
    pub rounds: usize,
}

/// What a run with replacements ended with.
#[derive(Debug, Default)]
pub struct ReplacementResult {
    /// What every run ends with.
    pub result: RunResult,
    /// Milliseconds from the new machines' start until all of them vote, for each replacement.
    pub vote_ms: Vec<u64>,
    /// Milliseconds from the last loss, the leader's among others, until another leads.
    pub leader_ms: u64,
}

/// An empty machine starts this long after an unplanned loss.
const NEWCOMER_US: u64 = 1_000_000;

/// In a planned replacement the old process is asked to stop this long after the new one started.
const OVERLAP_US: u64 = 1_000_000;

/// A new machine that is lost while it joins has run this long.
const HALF_WAY_US: u64 = 700_000;

/// Mean pause between requests: enough to observe that each node serves.
const REQUEST_PAUSE_US: u64 = 100_000;

const LOOK_US: u64 = 20_000;
const GROWTH_US: u64 = 2_000_000;

impl Replacement {
    /// Milliseconds to catch up: those of a group of three, or of five.
    pub fn catch_up_ms(&self) -> u64 {
        if self.losses > 1 { 6_000 } else { 4_000 }
    }

    /// Runs it; the same seed gives the same result.
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

    /// One replacement and the time to catch up; milliseconds until the new machines vote.
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
