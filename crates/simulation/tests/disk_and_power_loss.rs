//! One control machine loses its disk for good while all other machines lose power.
//!
//! The search counts the acknowledgements, and the writes and syncs of the controller, from the
//! time at which an operator begins to submit plans. It takes each of the first few in turn: right
//! after it, one control machine is lost with its disk, and the two others, the observers and all
//! data nodes lose power, with the writes that were not synced. The machines return one by one, in
//! drawn order. After that all that was acknowledged must be there, nothing may run twice, and all
//! data nodes must serve.

mod support;

use postbarrow_simulation::{Random, World};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use support::history;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;
const THREADS: usize = 4;
/// The searches of this file share the threads.
static RUNNING: Mutex<()> = Mutex::new(());

const DATA_NODES: usize = 3;
const TARGETS: usize = 9;
const OBSERVERS: usize = 2;

/// Further routes of each plan.
const ROUTES: u64 = 12;
/// Between two plans at least.
const PLAN_PAUSE_US: u64 = 30_000;
/// Mean pause between two requests.
const REQUEST_PAUSE_US: u64 = 30_000;

/// The cluster has formed by then, and the observers start.
const FORMED_US: u64 = 4_000_000;
/// The observers have found the controller after this time.
const OBSERVED_US: u64 = 1_000_000;
/// How finely the search looks for its step: less than a frame or a sync takes.
const STEP_US: u64 = 20;
/// All steps of the search come within this time.
const SEARCH_US: u64 = 6_000_000;

/// A machine without power returns within this time.
const MAX_DOWN_US: u64 = 2_000_000;
/// From the last return until full service, as in `Scenario`.
const RECOVERY_US: u64 = 15_000_000;
/// Full service counts when it lasted this long.
const STABLE_US: u64 = 1_000_000;
/// Time for the applications and for clients that repeat their requests.
const READ_BACK_US: u64 = 2_000_000;
/// An empty machine votes within this time after full service.
const VOTER_US: u64 = 8_000_000;
const LOOK_US: u64 = 50_000;

/// What the search counts until the loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Operators received the 200 of a plan.
    PlanAcknowledged,
    /// An application received the outcome of a change of a number, a key or a lock.
    CallAcknowledged,
    /// A client received the response to its one-time request.
    RequestAnswered,
    /// The controller issued a write, which is not synced.
    ControllerWrites,
    /// The controller synced its disk and sent what depended on that.
    ControllerSyncs,
}

/// How the place of the lost control machine is filled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Replacement {
    /// An empty machine starts at a new address, before all others are back.
    EmptyFirst,
    /// An empty machine starts at a new address, after all others are back.
    EmptyLast,
    /// Not at all.
    Never,
}

const REPLACEMENTS: [Replacement; 3] =
    [Replacement::EmptyFirst, Replacement::EmptyLast, Replacement::Never];

/// One run of the search.
#[derive(Clone, Copy, Debug)]
struct Loss {
    seed: u64,
    step: Step,
    /// The number of the step, from 0.
    number: u64,
    /// Which control machine is lost: 0 the leader, 1 and 2 the others.
    rank: usize,
    replacement: Replacement,
}

/// A machine that has lost power.
#[derive(Clone, Copy, Debug)]
enum Machine {
    Control(usize),
    Data(usize),
}

/// What the search compares between two looks at the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Progress {
    digest: u64,
    leader: usize,
    count: usize,
}

impl Loss {
    /// Nine steps in a row meet each combination of rank and replacement; seeds begin at others.
    fn new(seed: u64, step: Step, number: u64) -> Loss {
        let turn = (number + seed) as usize;
        let (rank, replacement) = (turn % 3, REPLACEMENTS[turn / 3 % 3]);
        Loss { seed, step, number, rank, replacement }
    }

    /// Runs it; what did not hold.
    fn run(&self) -> Vec<String> {
        let mut world = cluster(self.seed);
        if !self.run_until_step(&mut world) {
            return vec!["the step was never reached".into()];
        }
        let lost_us = world.now_us;
        let interrupted = keyed_requests(&world);
        let machines = self.lose_disk_and_power(&mut world);
        let newcomer = self.return_machines(&mut world, machines);
        let returned_us = world.now_us;
        let mut found = Vec::new();
        if !recovers(&mut world) {
            found.push(format!("no full service {RECOVERY_US} µs after the last return"));
        }
        interrupted.into_iter().for_each(|request| world.client_returns(request));
        run_for(&mut world, READ_BACK_US);
        check_plans(&mut world, &mut found);
        if let Some(newcomer) = newcomer {
            check_voter(&mut world, newcomer, &mut found);
        }
        for name in history::names_without_read_back(&world, lost_us, returned_us) {
            found.push(format!("{name}: no call ended after the machines returned"));
        }
        found.extend(history::violations(&world));
        found.extend(world.overdue().iter().map(|id| format!("request {id} got no response")));
        found.append(&mut world.ledger.violations);
        found
    }

    /// Submits plans and runs until the chosen step has just come; false if it never does.
    fn run_until_step(&self, world: &mut World) -> bool {
        let until_us = world.now_us + SEARCH_US;
        let mut due_us = world.now_us;
        let mut remaining = self.number;
        let mut before = self.progress(world);
        while world.now_us < until_us {
            if world.operator.is_idle() && world.now_us >= due_us {
                due_us = world.now_us + PLAN_PAUSE_US;
                world.submit_plan(ROUTES, false, false);
            }
            run_for(world, STEP_US);
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

    /// How many steps of this kind there were, as far as one more shows by a larger number.
    fn progress(&self, world: &World) -> Progress {
        let leader = world.leader().unwrap_or(usize::MAX);
        let controller = world.control.get(leader);
        let count = match self.step {
            Step::PlanAcknowledged => world.operator.acknowledged as usize,
            Step::CallAcknowledged => {
                let done = world.callers.done.iter();
                done.filter(|one| history::is_acknowledged_change(&one.call, &one.outcome)).count()
            }
            Step::RequestAnswered => answered_requests(world),
            Step::ControllerWrites => controller.map_or(0, |machine| machine.writes().count()),
            Step::ControllerSyncs => controller.map_or(0, |machine| machine.disk.syncs() as usize),
        };
        Progress { digest: world.digest, leader, count }
    }

    /// Loses one control machine with its disk, and the power of all other machines; returns those.
    fn lose_disk_and_power(&self, world: &mut World) -> Vec<Machine> {
        let leader = world.leader().unwrap_or(0);
        let lost = (leader + self.rank) % 3;
        for at in 0..world.control.len() {
            world.end_control(at, true);
        }
        for at in 0..DATA_NODES {
            world.end_data(at);
        }
        world.control[lost].disk.wipe();
        world.control[lost].retired_us = Some(world.now_us);
        let control = (0..world.control.len()).filter(|at| *at != lost).map(Machine::Control);
        control.chain((0..DATA_NODES).map(Machine::Data)).collect()
    }

    /// Starts these machines in drawn order, and an empty control machine, whose index is returned.
    fn return_machines(&self, world: &mut World, machines: Vec<Machine>) -> Option<usize> {
        let mut random = Random::new(self.seed ^ (self.number << 32));
        let lost_us = world.now_us;
        world.slow_disks = false;
        let mut returns: Vec<(u64, Machine)> =
            machines.into_iter().map(|machine| (random.below(MAX_DOWN_US), machine)).collect();
        returns.sort_by_key(|(down_us, _)| *down_us);
        let mut newcomer = None;
        if self.replacement == Replacement::EmptyFirst {
            newcomer = Some(world.add_control());
        }
        for (down_us, machine) in returns {
            world.run_until(lost_us + down_us);
            match machine {
                Machine::Control(at) => world.start_control(at),
                Machine::Data(at) => world.start_data(at),
            }
        }
        if self.replacement == Replacement::EmptyLast {
            newcomer = Some(world.add_control());
        }
        newcomer
    }
}

/// A cluster in full service with observers, applications, clients and an operator; with every
/// second seed its syncs are slow until the loss, so that more is unsynced.
fn cluster(seed: u64) -> World {
    let mut world = World::new(seed, DATA_NODES, TARGETS);
    world.request_pause_us = REQUEST_PAUSE_US;
    world.run_until(FORMED_US);
    (0..OBSERVERS).for_each(|_| {
        world.add_observer();
    });
    run_for(&mut world, OBSERVED_US);
    assert!(world.has_full_service(), "seed {seed}: no service before the loss");
    world.quiet = true;
    world.slow_disks = seed.is_multiple_of(2);
    world
}

fn run_for(world: &mut World, for_us: u64) {
    world.run_until(world.now_us + for_us);
}

/// One-time requests under a key so far, which a client may repeat.
fn keyed_requests(world: &World) -> Vec<u64> {
    let keyed = world.requests.iter().filter(|(_, run)| run.keyed && run.service != "catalogue");
    let mut ids = BTreeSet::new();
    keyed.filter(|(_, run)| ids.insert(run.id)).map(|(request, _)| *request).collect()
}

/// One-time requests that were forwarded to a target and have ended.
fn answered_requests(world: &World) -> usize {
    let one_time = world.requests.values().filter(|run| run.service != "catalogue");
    let forwarded = one_time.filter(|run| run.connected.is_some());
    forwarded.filter(|run| !(0..DATA_NODES).any(|at| run.is_in_flight(at))).count()
}

/// Whether full service, with requests that run, begins in time and lasts.
fn recovers(world: &mut World) -> bool {
    let start_us = world.now_us;
    let mut since_us = None;
    while since_us.is_some() || world.now_us <= start_us + RECOVERY_US {
        run_for(world, LOOK_US);
        let ran = world.ledger.ran_us.last().is_some_and(|at_us| at_us + 500_000 > world.now_us);
        match (world.has_full_service() && ran, since_us) {
            (true, None) => since_us = Some(world.now_us),
            (true, Some(since_us)) if world.now_us > since_us + STABLE_US => return true,
            (true, Some(_)) => {}
            (false, _) => since_us = None,
        }
    }
    false
}

/// The plan acknowledged last is shown, before and after one more plan.
fn check_plans(world: &mut World, found: &mut Vec<String>) {
    check_shown_plan(world, "after the loss", found);
    let acknowledged = world.operator.acknowledged;
    world.submit_plan(ROUTES, false, false);
    run_for(world, READ_BACK_US);
    if world.operator.acknowledged == acknowledged {
        found.push("no plan is acknowledged after the loss".into());
    }
    check_shown_plan(world, "after one more plan", found);
}

fn check_shown_plan(world: &mut World, when: &str, found: &mut Vec<String>) {
    if !world.operator.is_idle() {
        found.push(format!("an order has no clear response {when}"));
    }
    world.operator.shown = None;
    world.show();
    run_for(world, STABLE_US);
    let version = world.operator.version.as_ref();
    let last = version.and_then(|version| world.operator.texts.get(version));
    if last.is_none() || world.operator.shown.as_ref() != last {
        found.push(format!("plan {version:?}, acknowledged last, is not shown {when}"));
    }
}

/// The empty machine has the lost one's place among three voters in time.
fn check_voter(world: &mut World, newcomer: usize, found: &mut Vec<String>) {
    let until_us = world.now_us + VOTER_US;
    while !votes(world, newcomer) {
        if world.now_us >= until_us {
            return found.push("the empty machine is no voter in time".into());
        }
        run_for(world, LOOK_US);
    }
}

fn votes(world: &World, at: usize) -> bool {
    let Some(leader) = world.leader().and_then(|at| world.control[at].node.as_ref()) else {
        return false;
    };
    let members = leader.consensus().members();
    let address = world.control[at].address;
    members.len() == 3 && members.iter().any(|member| member.address == address)
}

/// Runs the losses of the first `numbers` steps of this kind with each seed, a few at a time.
fn assert_nothing_is_lost_after(step: Step, numbers: u64) {
    let _one_search_at_a_time = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let losses: Vec<Loss> = SEEDS
        .flat_map(|seed| (0..numbers).map(move |number| Loss::new(seed, step, number)))
        .collect();
    let next = AtomicUsize::new(0);
    let violated = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(loss) = losses.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let found = loss.run();
                    if !found.is_empty() {
                        violated.lock().expect("no run panics").push((loss, found));
                    }
                }
            });
        }
    });
    let violated = violated.into_inner().expect("no run panics");
    let (count, runs) = (violated.len(), losses.len());
    assert_eq!(count, 0, "{count} of {runs} runs have violations: {violated:#?}");
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
