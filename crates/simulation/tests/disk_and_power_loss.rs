//! One control machine is lost with its disk while all other machines lose power.
//!
//! An operator submits plans, and each run counts the steps of one kind from then on: the
//! acknowledgements, or the controller's writes or syncs. Each of the first few steps has its own
//! run. Right after the step one control machine is lost with its disk, and the two others, the
//! observers and all data nodes lose power, with the writes that were not synced. The machines
//! return one by one, in random order. After that everything acknowledged must still be there, no
//! one-time request may run twice, and all data nodes must serve.

mod support;

use postbarrow_simulation::{Random, World};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use support::history;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;
const THREADS: usize = 4;
/// Held by the running test of this file, because each test uses all threads.
static SEARCH_LOCK: Mutex<()> = Mutex::new(());

const DATA_NODES: usize = 3;
const TARGETS: usize = 9;
const OBSERVERS: usize = 2;

/// Number of further routes in each plan.
const ROUTES: u64 = 12;
/// Minimum time between two plans.
const PLAN_PAUSE_US: u64 = 30_000;
/// Mean time between two requests.
const REQUEST_PAUSE_US: u64 = 30_000;

/// The time at which the cluster has formed and the observers start.
const FORMED_US: u64 = 4_000_000;
/// Time in which the observers find the controller.
const OBSERVER_START_US: u64 = 1_000_000;
/// The interval at which a run looks for its step: less than a frame or a sync takes.
const STEP_POLL_US: u64 = 20;
/// Time within which every run reaches its step.
const MAX_STEP_US: u64 = 6_000_000;

/// Maximum time for which a machine has no power.
const MAX_DOWN_US: u64 = 2_000_000;
/// Maximum time from the last return to full service, as in `Scenario`.
const RECOVERY_US: u64 = 15_000_000;
/// Time for which full service must last.
const STABLE_US: u64 = 1_000_000;
/// Time for applications to call again and for clients to repeat their requests.
const READ_BACK_US: u64 = 2_000_000;
/// Time after full service within which an empty machine becomes a voter.
const BECOME_VOTER_US: u64 = 8_000_000;
/// The interval at which a run looks for full service and for the new voter.
const POLL_US: u64 = 50_000;

/// The kind of step after which the loss comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// An operator received the acknowledgement (status 200) of a plan.
    PlanAcknowledged,
    /// An application received the outcome of a change of a number, a key or a lock.
    CallAcknowledged,
    /// A client received the response to its one-time request.
    RequestAnswered,
    /// The controller issued a write, which is not synced yet.
    ControllerWrites,
    /// The controller synced its disk and sent the messages that waited for it.
    ControllerSyncs,
}

/// Whether and when an empty machine replaces the lost control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Replacement {
    /// An empty machine starts at a new address, before all others are back.
    EmptyFirst,
    /// An empty machine starts at a new address, after all others are back.
    EmptyLast,
    /// No machine replaces the lost one.
    Never,
}

const REPLACEMENTS: [Replacement; 3] =
    [Replacement::EmptyFirst, Replacement::EmptyLast, Replacement::Never];

/// One run, with its step and its loss.
#[derive(Clone, Copy, Debug)]
struct Loss {
    seed: u64,
    step: Step,
    /// The number of the step among those of its kind, from 0.
    number: u64,
    /// The control machine that is lost: 0 is the leader, 1 and 2 are the others.
    rank: usize,
    replacement: Replacement,
}

/// A machine that has lost power.
#[derive(Clone, Copy, Debug)]
enum Machine {
    Control(usize),
    Data(usize),
}

/// The part of the world by which a run finds its step, compared at each poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Progress {
    /// The world's digest of all events; equal if there was no event.
    digest: u64,
    /// The index of the leader; `usize::MAX` without one.
    leader: usize,
    /// A count that rises at each step; see `Loss::progress`.
    count: usize,
}

impl Loss {
    /// Returns the loss for a step. Nine steps in a row have all combinations of rank and
    /// replacement; each seed starts with another one.
    fn new(seed: u64, step: Step, number: u64) -> Loss {
        let combination = (number + seed) as usize;
        let (rank, replacement) = (combination % 3, REPLACEMENTS[combination / 3 % 3]);
        Loss { seed, step, number, rank, replacement }
    }

    /// Runs the loss and the return of the machines; returns the violations.
    fn run(&self) -> Vec<String> {
        let mut world = cluster(self.seed);
        if !self.run_until_step(&mut world) {
            return vec!["the run did not reach its step".into()];
        }
        let lost_us = world.now_us;
        let repeatable = keyed_requests(&world);
        let machines = self.lose_disk_and_power(&mut world);
        let empty_machine = self.return_machines(&mut world, machines);
        let returned_us = world.now_us;
        let mut found = Vec::new();
        if !recovers(&mut world) {
            found.push(format!("no full service {RECOVERY_US} µs after the last return"));
        }
        repeatable.into_iter().for_each(|request| world.client_returns(request));
        run_for(&mut world, READ_BACK_US);
        check_plans(&mut world, &mut found);
        if let Some(empty_machine) = empty_machine {
            check_voter(&mut world, empty_machine, &mut found);
        }
        for name in history::names_without_read_back(&world, lost_us, returned_us) {
            found.push(format!("{name}: no call that began after the machines returned has ended"));
        }
        found.extend(history::violations(&world));
        found.extend(
            world.overdue().iter().map(|id| format!("request {id} got no response in time")),
        );
        found.append(&mut world.ledger.violations);
        found
    }

    /// Submits plans and runs until the step has just occurred; returns whether it occurred in
    /// time.
    fn run_until_step(&self, world: &mut World) -> bool {
        let until_us = world.now_us + MAX_STEP_US;
        let mut next_plan_us = world.now_us;
        let mut remaining = self.number;
        let mut before = self.progress(world);
        while world.now_us < until_us {
            if world.operator.is_idle() && world.now_us >= next_plan_us {
                next_plan_us = world.now_us + PLAN_PAUSE_US;
                world.submit_plan(ROUTES, false, false);
            }
            run_for(world, STEP_POLL_US);
            if world.digest == before.digest {
                continue;
            }
            let now = self.progress(world);
            if now.leader == before.leader && now.count > before.count {
                if remaining == 0 {
                    return true;
                }
                remaining -= 1;
            }
            before = now;
        }
        false
    }

    /// Returns the progress of the run. The count rises at each step of this kind, but is not
    /// always the number of steps: unsynced writes, for instance, leave it when they are synced.
    fn progress(&self, world: &World) -> Progress {
        let leader = world.leader().unwrap_or(usize::MAX);
        let controller = world.control.get(leader);
        let count = match self.step {
            Step::PlanAcknowledged => world.operator.acknowledged as usize,
            Step::CallAcknowledged => {
                let completed = world.callers.completed.iter();
                completed
                    .filter(|call| history::is_acknowledged_change(&call.call, &call.outcome))
                    .count()
            }
            Step::RequestAnswered => answered_requests(world),
            Step::ControllerWrites => controller.map_or(0, |machine| machine.writes().count()),
            Step::ControllerSyncs => controller.map_or(0, |machine| machine.disk.syncs() as usize),
        };
        Progress { digest: world.digest, leader, count }
    }

    /// Ends one control machine and wipes its disk, and cuts the power of all other machines;
    /// returns those others.
    fn lose_disk_and_power(&self, world: &mut World) -> Vec<Machine> {
        let leader = world.leader().unwrap_or(0);
        let lost = (leader + self.rank) % 3;
        for index in 0..world.control.len() {
            world.end_control(index, true);
        }
        for index in 0..DATA_NODES {
            world.end_data(index);
        }
        world.control[lost].disk.wipe();
        world.control[lost].retired_us = Some(world.now_us);
        let control = (0..world.control.len()).filter(|index| *index != lost).map(Machine::Control);
        control.chain((0..DATA_NODES).map(Machine::Data)).collect()
    }

    /// Starts these machines in random order, and an empty control machine unless `replacement` is
    /// `Never`; returns the index of the empty machine.
    fn return_machines(&self, world: &mut World, machines: Vec<Machine>) -> Option<usize> {
        let mut random = Random::new(self.seed ^ (self.number << 32));
        let lost_us = world.now_us;
        world.slow_disks = false;
        let mut returns: Vec<(u64, Machine)> =
            machines.into_iter().map(|machine| (random.below(MAX_DOWN_US), machine)).collect();
        returns.sort_by_key(|(down_us, _)| *down_us);
        let mut empty_machine = None;
        if self.replacement == Replacement::EmptyFirst {
            empty_machine = Some(world.add_control());
        }
        for (down_us, machine) in returns {
            world.run_until(lost_us + down_us);
            match machine {
                Machine::Control(index) => world.start_control(index),
                Machine::Data(index) => world.start_data(index),
            }
        }
        if self.replacement == Replacement::EmptyLast {
            empty_machine = Some(world.add_control());
        }
        empty_machine
    }
}

/// Returns a cluster in full service with observers, applications, clients and an operator. With
/// every second seed its syncs are slow until the loss, so that more writes are unsynced.
fn cluster(seed: u64) -> World {
    let mut world = World::new(seed, DATA_NODES, TARGETS);
    world.request_pause_us = REQUEST_PAUSE_US;
    world.run_until(FORMED_US);
    (0..OBSERVERS).for_each(|_| {
        world.add_observer();
    });
    run_for(&mut world, OBSERVER_START_US);
    assert!(world.has_full_service(), "seed {seed}: no full service before the loss");
    world.plans_paused = true;
    world.slow_disks = seed.is_multiple_of(2);
    world
}

fn run_for(world: &mut World, duration_us: u64) {
    world.run_until(world.now_us + duration_us);
}

/// Returns one attempt of each one-time request sent under a key so far, which its client may
/// repeat.
fn keyed_requests(world: &World) -> Vec<u64> {
    let keyed = world.requests.iter().filter(|(_, run)| run.keyed && run.service != "catalogue");
    let mut ids = BTreeSet::new();
    keyed.filter(|(_, run)| ids.insert(run.id)).map(|(request, _)| *request).collect()
}

/// Returns the number of one-time requests that were forwarded to a target and have ended.
fn answered_requests(world: &World) -> usize {
    let one_time = world.requests.values().filter(|run| run.service != "catalogue");
    let forwarded = one_time.filter(|run| run.connected_instance.is_some());
    forwarded.filter(|run| !(0..DATA_NODES).any(|index| run.is_in_flight(index))).count()
}

/// Returns whether full service, with requests that run, begins within `RECOVERY_US` and then lasts
/// for `STABLE_US`.
fn recovers(world: &mut World) -> bool {
    let start_us = world.now_us;
    let mut since_us = None;
    while since_us.is_some() || world.now_us <= start_us + RECOVERY_US {
        run_for(world, POLL_US);
        let ran =
            world.ledger.run_times_us.last().is_some_and(|at_us| at_us + 500_000 > world.now_us);
        match (world.has_full_service() && ran, since_us) {
            (true, None) => since_us = Some(world.now_us),
            (true, Some(since_us)) if world.now_us > since_us + STABLE_US => return true,
            (true, Some(_)) => {}
            (false, _) => since_us = None,
        }
    }
    false
}

/// Checks that the plan acknowledged last is shown, before and after one more plan is acknowledged.
fn check_plans(world: &mut World, found: &mut Vec<String>) {
    check_shown_plan(world, "after the loss", found);
    let acknowledged = world.operator.acknowledged;
    world.submit_plan(ROUTES, false, false);
    run_for(world, READ_BACK_US);
    if world.operator.acknowledged == acknowledged {
        found.push("no plan was acknowledged after the loss".into());
    }
    check_shown_plan(world, "after one more plan", found);
}

/// Checks that no order is pending and that the plan acknowledged last is shown.
fn check_shown_plan(world: &mut World, when: &str, found: &mut Vec<String>) {
    if !world.operator.is_idle() {
        found.push(format!("an order has no conclusive response {when}"));
    }
    world.operator.shown_plan = None;
    world.request_plan_in_force();
    run_for(world, STABLE_US);
    let version = world.operator.version.as_ref();
    let acknowledged_text = version.and_then(|version| world.operator.texts.get(version));
    if acknowledged_text.is_none() || world.operator.shown_plan.as_ref() != acknowledged_text {
        found.push(format!("plan {version:?}, acknowledged last, is not shown {when}"));
    }
}

/// Checks that the empty machine replaces the lost one among the three voters in time.
fn check_voter(world: &mut World, empty_machine: usize, found: &mut Vec<String>) {
    let until_us = world.now_us + BECOME_VOTER_US;
    while !is_voter(world, empty_machine) {
        if world.now_us >= until_us {
            return found.push("the empty machine did not become a voter in time".into());
        }
        run_for(world, POLL_US);
    }
}

/// Returns whether a control machine is one of exactly three voters in the leader's log.
fn is_voter(world: &World, index: usize) -> bool {
    let Some(leader) = world.leader().and_then(|leader| world.control[leader].node.as_ref()) else {
        return false;
    };
    let members = leader.consensus().members();
    let address = world.control[index].address;
    members.len() == 3 && members.iter().any(|member| member.address == address)
}

/// Runs the losses after each of the first `step_count` steps of this kind with each seed, on
/// `THREADS` threads; asserts that none has violations.
fn assert_nothing_is_lost_after(step: Step, step_count: u64) {
    let _search_guard = SEARCH_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let losses: Vec<Loss> = SEEDS
        .flat_map(|seed| (0..step_count).map(move |number| Loss::new(seed, step, number)))
        .collect();
    let next = AtomicUsize::new(0);
    let failed_runs = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(loss) = losses.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let found = loss.run();
                    if !found.is_empty() {
                        failed_runs.lock().expect("no run panics").push((loss, found));
                    }
                }
            });
        }
    });
    let failed_runs = failed_runs.into_inner().expect("no run panics");
    let (count, runs) = (failed_runs.len(), losses.len());
    assert_eq!(count, 0, "{count} of {runs} runs have violations: {failed_runs:#?}");
}

#[test]
fn acknowledged_plans_survive_a_lost_disk_and_a_power_loss_right_after_them() {
    assert_nothing_is_lost_after(Step::PlanAcknowledged, 9);
}

#[test]
fn acknowledged_calls_survive_a_lost_disk_and_a_power_loss_right_after_them() {
    assert_nothing_is_lost_after(Step::CallAcknowledged, 9);
}

#[test]
fn answered_requests_run_once_after_a_lost_disk_and_a_power_loss_right_after_them() {
    assert_nothing_is_lost_after(Step::RequestAnswered, 9);
}

#[test]
fn a_lost_disk_and_a_power_loss_at_each_write_of_the_controller_lose_nothing_acknowledged() {
    assert_nothing_is_lost_after(Step::ControllerWrites, 9);
}

#[test]
fn a_lost_disk_and_a_power_loss_at_each_sync_of_the_controller_lose_nothing_acknowledged() {
    assert_nothing_is_lost_after(Step::ControllerSyncs, 9);
}
