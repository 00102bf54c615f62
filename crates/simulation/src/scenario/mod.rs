//! One run: a world, the faults drawn for it, the wait for full service, the final checks.

pub mod contact_loss;
pub mod injection;
pub mod replacement;

use crate::checker::calls::check_calls;
use crate::checker::ledger::OutcomeCounts;
use crate::event::Event;
use crate::fault::{ALL, Fault};
use crate::random::Random;
use crate::world::World;

/// The faults of one run, its size and its seed.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The run's seed.
    pub seed: u64,
    /// The faults that are drawn from.
    pub faults: Vec<Fault>,
    /// How many are drawn from `faults`, each healed or overlapped by the next.
    pub count: usize,
    /// How many data nodes there are.
    pub data_nodes: usize,
    /// How many targets there are at the start.
    pub targets: usize,
    /// Whether the run's log is returned.
    pub log: bool,
    /// A last fault, injected after all others are healed, from which the cluster recovers without
    /// help.
    pub last: Option<Fault>,
    /// Faults before any drawn one, each this many milliseconds after the previous one.
    pub script: Vec<(u64, Fault)>,
    /// Of a thousand runs at a target, how many lose their response.
    pub lost_per_mille: u64,
    /// Added delay between zones, in microseconds.
    pub zone_us: u64,
}

/// What a run ended with.
#[derive(Debug, Default)]
pub struct RunResult {
    /// What did not hold; empty if the run passed.
    pub violations: Vec<String>,
    /// Milliseconds from the last heal or fault until full service; `u64::MAX` if there was none in
    /// time.
    pub recovery_ms: u64,
    /// Requests that clients sent.
    pub requests: usize,
    /// How they ended.
    pub outcomes: OutcomeCounts,
    /// How often a request was forwarded to a target.
    pub forwards: u64,
    /// Plans acknowledged.
    pub plans: u64,
    /// Plans refused.
    pub refusals: u64,
    /// Completed calls for locks, numbers, keys and watches.
    pub calls: usize,
    /// Events that the watch received.
    pub events: usize,
    /// Lookups sent, and the runs at targets beyond one for each.
    pub extra: (usize, usize),
    /// The longest time for which a target still got requests after the list showed it depart.
    pub max_departure_lag_ms: u64,
    /// A digest of the time and order of all events: equal for equal runs.
    pub digest: u64,
    /// Addresses of the members at the end, as the leader knows them.
    pub members: Vec<String>,
    /// Snapshots that were encoded.
    pub snapshots: usize,
    /// Syncs, and the writes that shared them.
    pub synced: (usize, usize),
    /// Control processes that ended because a write or sync failed.
    pub disk_failures: usize,
    /// Fetches of the endpoint list that its rate limit refused.
    pub list_refusals: usize,
    /// The run's log, if it was requested.
    pub log: Vec<String>,
}

/// The first fault comes when the cluster has had this time to form.
const START_US: u64 = 6_000_000;
const RECOVERY_MS: u64 = 15_000;

impl Scenario {
    /// A scenario of the usual size that draws `count` of these faults.
    pub fn new(seed: u64, faults: &[Fault], count: usize) -> Self {
        let faults = faults.to_vec();
        Scenario {
            seed,
            faults,
            count,
            data_nodes: 5,
            targets: 12,
            log: false,
            last: None,
            script: Vec::new(),
            lost_per_mille: 5,
            zone_us: 0,
        }
    }

    /// A scenario that draws six of all faults.
    pub fn everything(seed: u64) -> Self {
        Scenario::new(seed, &ALL, 6)
    }

    /// Runs it; the same scenario gives the same result.
    pub fn run(&self) -> RunResult {
        let mut world = World::new(self.seed, self.data_nodes, self.targets);
        if self.log {
            world.log = Some(Vec::new());
        }
        world.targets.iter_mut().for_each(|target| target.lost_per_mille = self.lost_per_mille);
        world.network.zone_us = self.zone_us;
        world.run_until(START_US);
        let formed = world.has_full_service();
        self.inject_faults(&mut world);
        world.quiet = true;
        world.inject(Fault::Heal);
        if let Some(last) = self.last {
            let stable_us = world.now_us + 5_000_000;
            world.run_until(stable_us);
            world.inject(last);
        }
        let mut outcome = RunResult { recovery_ms: recover(&mut world), ..RunResult::default() };
        world.request_pause_us = 0;
        let end_us = world.now_us + 6_000_000;
        world.run_until(end_us);
        world.show();
        world.run_until(end_us + 2_000_000);
        if !formed {
            outcome.violations.push("no service before any fault".into());
        }
        finish(&mut world, &mut outcome);
        outcome
    }

    /// Injects the script's faults and then the drawn ones, some of them healed before the next.
    fn inject_faults(&self, world: &mut World) {
        let mut random = Random::new(self.seed ^ 0xfa_017);
        let mut at_us = START_US;
        for (pause_ms, fault) in &self.script {
            at_us += pause_ms * 1_000;
            world.run_until(at_us);
            world.after(0, Event::Fault(*fault));
        }
        for _ in 0..self.count {
            let fault = self.faults[random.below(self.faults.len() as u64) as usize];
            world.after(0, Event::Fault(fault));
            at_us += random.between(300_000, 4_000_000);
            world.run_until(at_us);
            if random.chance(500) {
                world.after(0, Event::Fault(Fault::Heal));
                at_us += random.between(200_000, 2_000_000);
                world.run_until(at_us);
            }
        }
    }
}

/// Runs until full service, with requests that run, has lasted a second; milliseconds until it
/// began.
pub(crate) fn recover(world: &mut World) -> u64 {
    let start_us = world.now_us;
    let mut well_us = None;
    while world.now_us < start_us + 2 * RECOVERY_MS * 1_000 {
        let next_us = world.now_us + 50_000;
        world.run_until(next_us);
        let ran = world.ledger.ran_us.last().is_some_and(|ran_us| ran_us + 500_000 > world.now_us);
        match (world.has_full_service() && ran, well_us) {
            (true, None) => well_us = Some(world.now_us),
            (true, Some(since_us)) if world.now_us > since_us + 1_000_000 => break,
            (false, _) => well_us = None,
            _ => {}
        }
    }
    well_us.map_or(u64::MAX, |well_us| (well_us - start_us) / 1_000)
}

pub(crate) fn finish(world: &mut World, outcome: &mut RunResult) {
    if outcome.recovery_ms > RECOVERY_MS {
        outcome.violations.push(format!("no full service {RECOVERY_MS} ms after the last fault"));
    }
    check_history(world);
    check_plan(world);
    check_answers(world);
    let (lookups, extra) = world.ledger.extra();
    if extra as f64 > lookups as f64 / 5.0 + 3.0 * world.now_us as f64 / 1e6 {
        world.ledger.violate(format!("{extra} extra runs for {lookups} lookups"));
    }
    outcome.violations.append(&mut world.ledger.violations);
    outcome.requests = world.ledger.requests();
    outcome.outcomes = world.ledger.outcome_counts();
    outcome.forwards = world.ledger.forwards;
    outcome.plans = world.operator.acknowledged;
    outcome.refusals = world.operator.refusals;
    outcome.calls = world.callers.done.len();
    outcome.events = world.callers.watched_revisions.len();
    outcome.extra = (lookups, extra);
    outcome.max_departure_lag_ms = world.ledger.max_departure_lag_us / 1_000;
    let leader = world.leader().and_then(|at| world.control[at].node.as_ref());
    outcome.members = leader.map_or_else(Vec::new, |node| {
        node.consensus().members().iter().map(|member| member.address.to_string()).collect()
    });
    outcome.snapshots = world.snapshots;
    outcome.synced = world.synced;
    outcome.disk_failures = world.disk_failures;
    outcome.list_refusals = world.list.refusals as usize;
    outcome.digest = world.digest;
    outcome.log = world.log.take().unwrap_or_default();
}

/// A node that keeps running answers every request that it accepted.
fn check_answers(world: &mut World) {
    for id in world.overdue() {
        world.ledger.violate(format!("request {id} got no response from a node that still runs"));
    }
}

fn check_plan(world: &mut World) {
    let Some(shown) = world.operator.shown.clone() else {
        return world.ledger.violate("the plan does not read back".into());
    };
    let last =
        world.operator.version.as_ref().and_then(|version| world.operator.texts.get(version));
    let unsure = world.operator.unsure.iter().any(|text| *text == shown);
    if last != Some(&shown) && !unsure {
        world.ledger.violate("the plan in force is not the one last acknowledged".into());
    }
}

pub(crate) fn read_back(world: &mut World, result: &mut RunResult, when: &str) {
    let until_us = world.now_us + 6_000_000;
    world.run_until(until_us);
    world.show();
    world.run_until(until_us + 2_000_000);
    let last = world.operator.version.as_ref().and_then(|name| world.operator.texts.get(name));
    if last.is_none() || world.operator.shown.as_ref() != last {
        result.violations.push(format!("the plan acknowledged last does not read back{when}"));
    }
}

/// Checks the whole history of the callers.
pub(crate) fn check_history(world: &mut World) {
    let found = check_calls(&world.callers);
    found.into_iter().for_each(|text| world.ledger.violate(text));
}
