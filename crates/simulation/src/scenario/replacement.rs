//! Runs in which control machines are lost or replaced one after another, each as soon as the time
//! to catch up has passed.

use crate::scenario::{RunResult, finish_run, read_back_plan, recover};
use crate::world::World;

/// A run with replacements back to back and a last loss right after the last time to catch up.
#[derive(Clone, Copy, Debug)]
pub struct Replacement {
    /// The run's seed.
    pub seed: u64,
    /// Number of simultaneous losses to tolerate; the group has `2 * losses + 1` machines.
    pub losses: usize,
    /// Whether the replacements are planned: the new machine starts first, and the old process
    /// shuts down gracefully. Otherwise the old machines are lost first.
    pub planned: bool,
    /// Whether the leader is among the replaced machines.
    pub leader: bool,
    /// Whether the first new machine of each replacement is lost while it joins, so that another
    /// one starts.
    pub new_machine_is_lost: bool,
    /// Whether the only seed address of the new machines is that of a replaced machine.
    pub seeds_are_replaced: bool,
    /// Number of replacements, one after another.
    pub rounds: usize,
}

/// The result of a run with replacements.
#[derive(Debug, Default)]
pub struct ReplacementResult {
    /// The violations, counters and recovery time of the run.
    pub result: RunResult,
    /// For each replacement, the milliseconds from the start of the new machines until all of them
    /// vote and the replaced ones do not; `u64::MAX` if that took longer than the time to catch up.
    pub vote_ms: Vec<u64>,
    /// Milliseconds from the last loss, which includes the leader, until another node leads; 10,000
    /// or more if none did in that time.
    pub leader_ms: u64,
}

/// Time from an unplanned loss to the start of a new machine, in microseconds.
const START_DELAY_US: u64 = 1_000_000;

/// Time from the start of the new machine to the shutdown of the old process in a planned
/// replacement, in microseconds.
const OVERLAP_US: u64 = 1_000_000;

/// Time between the start and the loss of a new machine that is lost while it joins, in
/// microseconds.
const JOINING_US: u64 = 700_000;

/// Mean pause between two requests, in microseconds: short enough to observe that each node serves.
const REQUEST_PAUSE_US: u64 = 100_000;

/// Interval of the checks whether a replacement is complete, in microseconds.
const POLL_US: u64 = 20_000;
/// Time that each machine added to form a group of more than three gets to join before the run goes
/// on, in microseconds.
const GROUP_GROWTH_US: u64 = 2_000_000;

impl Replacement {
    /// Returns the time in which new machines must catch up, in milliseconds: 4,000 in a group of
    /// three, 6,000 in a larger one.
    pub fn catch_up_ms(&self) -> u64 {
        if self.losses > 1 { 6_000 } else { 4_000 }
    }

    /// Runs the simulation; the same field values give the same result.
    pub fn run(&self) -> ReplacementResult {
        let mut world = World::new(self.seed, 2, 9);
        world.set_quorum_bounds(self.losses, self.catch_up_ms() / 2);
        world.request_pause_us = REQUEST_PAUSE_US;
        world.run_until(6_000_000);
        while world.control.len() < 2 * self.losses + 1 {
            world.add_control();
            world.run_for(GROUP_GROWTH_US);
        }
        let mut replacement_result = ReplacementResult::default();
        for _ in 0..self.rounds {
            let vote_ms = self.replace_once(&mut world);
            replacement_result.vote_ms.push(vote_ms);
        }
        world.plans_paused = true;
        world
            .control_voters(true)
            .into_iter()
            .take(self.losses)
            .for_each(|at| world.lose_and_retire(at));
        replacement_result.leader_ms = world.run_until_leader();
        replacement_result.result.recovery_ms = recover(&mut world);
        read_back_plan(&mut world, &mut replacement_result.result, " after the last loss");
        finish_run(&mut world, &mut replacement_result.result);
        replacement_result
    }

    /// Replaces machines once and runs until the time to catch up has passed. Returns the
    /// milliseconds until the new machines vote and the replaced ones do not; `u64::MAX` if that
    /// did not happen.
    fn replace_once(&self, world: &mut World) -> u64 {
        let count = if self.planned { 1 } else { self.losses };
        let replaced: Vec<usize> =
            world.control_voters(self.leader).into_iter().take(count).collect();
        if !self.planned {
            replaced.iter().for_each(|at| world.lose_and_retire(*at));
            world.run_for(START_DELAY_US);
        }
        if self.seeds_are_replaced {
            world.control_seeds_only = true;
            world.seeds = vec![world.control[replaced[0]].address; 3];
        }
        let mut new_machines: Vec<usize> = replaced.iter().map(|_| world.add_control()).collect();
        if self.new_machine_is_lost {
            world.run_for(JOINING_US);
            world.lose_and_retire(new_machines[0]);
            new_machines[0] = world.add_control();
        }
        let since_us = world.now_us;
        if self.planned {
            world.run_for(OVERLAP_US);
            replaced.iter().for_each(|at| world.shut_down_and_retire(*at));
        }
        let until_us = since_us + self.catch_up_ms() * 1_000;
        let mut vote_ms = u64::MAX;
        while world.now_us < until_us {
            if vote_ms == u64::MAX && world.is_replacement_committed(&new_machines, &replaced) {
                vote_ms = (world.now_us - since_us) / 1_000;
            }
            world.run_for(POLL_US);
        }
        vote_ms
    }
}
