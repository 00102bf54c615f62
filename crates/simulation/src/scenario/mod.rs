//! Runs of a simulated cluster: a phase with drawn faults, a wait for full service, and the final
//! checks.

pub mod contact_loss;
pub mod injection;
pub mod replacement;

use crate::checker::calls::check_calls;
use crate::checker::ledger::OutcomeCounts;
use crate::event::Event;
use crate::fault::{ALL_FAULTS, Fault};
use crate::random::Random;
use crate::world::World;

/// The description of one run: its seed, its size and its faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The run's seed.
    pub seed: u64,
    /// The faults from which the run's faults are drawn.
    pub faults: Vec<Fault>,
    /// Number of faults drawn from `faults`; with a probability of one half each, a fault is healed
    /// before the next, otherwise it overlaps with the next.
    pub fault_count: usize,
    /// Number of data nodes.
    pub data_nodes: usize,
    /// Number of targets at the start.
    pub targets: usize,
    /// Whether the run's log is recorded and returned.
    pub log: bool,
    /// A last fault, injected after all others are healed and itself not healed; the cluster must
    /// recover from it alone.
    pub last_fault: Option<Fault>,
    /// Faults injected before any drawn one, each with its pause after the previous one in
    /// milliseconds.
    pub script: Vec<(u64, Fault)>,
    /// Probability that the response to a request that ran at a target is lost, in thousandths.
    pub lost_per_mille: u64,
    /// Additional delay of a frame between two zones, in microseconds.
    pub zone_us: u64,
    /// Whether callers depart during the release of their lock, and a process freezes at some step
    /// of each such release until the faults are healed.
    pub owners_depart: bool,
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct RunResult {
    /// The violations of the invariants; empty if the run passed.
    pub violations: Vec<String>,
    /// Milliseconds from the last heal or fault until full service; `u64::MAX` if there was none in
    /// time.
    pub recovery_ms: u64,
    /// Number of requests that clients sent, without repeated attempts.
    pub requests: usize,
    /// Numbers of requests by their outcome.
    pub outcomes: OutcomeCounts,
    /// Number of times that a request was forwarded to a target.
    pub forwards: u64,
    /// Number of acknowledgements of plans.
    pub plans: u64,
    /// Number of refusals of plans.
    pub refusals: u64,
    /// Number of completed calls on locks, numbers, keys and watches.
    pub calls: usize,
    /// Number of callers that departed during the release of their lock.
    pub release_departures: u64,
    /// Number of releases that the controller could not order, and that were confirmed.
    pub confirmed_releases: u64,
    /// Number of events that the watch on keys received.
    pub events: usize,
    /// Number of attempts of lookups, and number of their runs at targets beyond one for each
    /// attempt.
    pub extra_lookup_runs: (usize, usize),
    /// The longest time for which a target received requests after the endpoint list showed its
    /// departure, in milliseconds.
    pub max_departure_lag_ms: u64,
    /// A digest of the times and the order of all events; equal runs have equal digests.
    pub digest: u64,
    /// Addresses of the members at the end, as the leader knows them.
    pub members: Vec<String>,
    /// Number of snapshots that control nodes encoded.
    pub snapshots: usize,
    /// Numbers of completed syncs of control machines and of the writes that they covered.
    pub synced: (usize, usize),
    /// Number of control processes that ended because a write or sync failed.
    pub disk_failures: usize,
    /// Number of fetches of the endpoint list that its rate limit refused.
    pub list_refusals: usize,
    /// The lines of the run's log; empty unless `Scenario::log` is set.
    pub log: Vec<String>,
}

/// True time from which faults are injected, in microseconds; by then the cluster must have formed.
const START_US: u64 = 6_000_000;
/// Maximum time from the last heal or fault to full service, in milliseconds.
const RECOVERY_MS: u64 = 15_000;

impl Scenario {
    /// Creates a scenario of five data nodes and twelve targets that draws `fault_count` of these
    /// faults.
    pub fn new(seed: u64, faults: &[Fault], fault_count: usize) -> Self {
        let faults = faults.to_vec();
        Scenario {
            seed,
            faults,
            fault_count,
            data_nodes: 5,
            targets: 12,
            log: false,
            last_fault: None,
            script: Vec::new(),
            lost_per_mille: 5,
            zone_us: 0,
            owners_depart: false,
        }
    }

    /// Creates a scenario that draws six of all faults in `ALL_FAULTS`.
    pub fn everything(seed: u64) -> Self {
        Scenario::new(seed, &ALL_FAULTS, 6)
    }

    /// Runs the scenario; the same scenario gives the same result.
    pub fn run(&self) -> RunResult {
        let mut world = World::new(self.seed, self.data_nodes, self.targets);
        if self.log {
            world.log = Some(Vec::new());
        }
        world.targets.iter_mut().for_each(|target| target.lost_per_mille = self.lost_per_mille);
        world.network.zone_us = self.zone_us;
        world.run_until(START_US);
        let formed = world.has_full_service();
        world.owners_depart = self.owners_depart;
        self.inject_faults(&mut world);
        world.plans_paused = true;
        world.inject(Fault::Heal);
        if let Some(last_fault) = self.last_fault {
            let stable_us = world.now_us + 5_000_000;
            world.run_until(stable_us);
            world.inject(last_fault);
        }
        let mut result = RunResult { recovery_ms: recover(&mut world), ..RunResult::default() };
        world.request_pause_us = 0;
        let end_us = world.now_us + 6_000_000;
        world.run_until(end_us);
        world.request_plan_in_force();
        world.run_until(end_us + 2_000_000);
        if !formed {
            result.violations.push("no service before any fault".into());
        }
        finish_run(&mut world, &mut result);
        result
    }

    /// Injects the faults of `script` and then the drawn ones, about half of which are healed
    /// before the next.
    fn inject_faults(&self, world: &mut World) {
        let mut random = Random::new(self.seed ^ 0xfa_017);
        let mut at_us = START_US;
        for (pause_ms, fault) in &self.script {
            at_us += pause_ms * 1_000;
            world.run_until(at_us);
            world.schedule(0, Event::Fault(*fault));
        }
        for _ in 0..self.fault_count {
            let fault = self.faults[random.below(self.faults.len() as u64) as usize];
            world.schedule(0, Event::Fault(fault));
            at_us += random.between(300_000, 4_000_000);
            world.run_until(at_us);
            if random.chance(500) {
                world.schedule(0, Event::Fault(Fault::Heal));
                at_us += random.between(200_000, 2_000_000);
                world.run_until(at_us);
            }
        }
    }
}

/// Runs until there has been full service, with requests that run, for one second, or until twice
/// `RECOVERY_MS` have passed. Returns the milliseconds until that service began; `u64::MAX` if
/// there is none at the end.
pub(crate) fn recover(world: &mut World) -> u64 {
    let start_us = world.now_us;
    let mut full_service_us = None;
    while world.now_us < start_us + 2 * RECOVERY_MS * 1_000 {
        let next_us = world.now_us + 50_000;
        world.run_until(next_us);
        let ran =
            world.ledger.run_times_us.last().is_some_and(|run_us| run_us + 500_000 > world.now_us);
        match (world.has_full_service() && ran, full_service_us) {
            (true, None) => full_service_us = Some(world.now_us),
            (true, Some(since_us)) if world.now_us > since_us + 1_000_000 => break,
            (false, _) => full_service_us = None,
            _ => {}
        }
    }
    full_service_us.map_or(u64::MAX, |full_service_us| (full_service_us - start_us) / 1_000)
}

/// Makes the final checks and moves the world's counters and violations to the result.
pub(crate) fn finish_run(world: &mut World, result: &mut RunResult) {
    if result.recovery_ms > RECOVERY_MS {
        result.violations.push(format!("no full service {RECOVERY_MS} ms after the last fault"));
    }
    check_history(world);
    check_plan(world);
    check_answers(world);
    let (lookups, extra) = world.ledger.extra_lookup_runs();
    if extra as f64 > lookups as f64 / 5.0 + 3.0 * world.now_us as f64 / 1e6 {
        world.ledger.report(format!("{extra} extra runs for {lookups} lookups"));
    }
    result.violations.append(&mut world.ledger.violations);
    result.requests = world.ledger.requests();
    result.outcomes = world.ledger.outcome_counts();
    result.forwards = world.ledger.forwards;
    result.plans = world.operator.acknowledged;
    result.refusals = world.operator.refusals;
    result.calls = world.callers.completed.len();
    result.release_departures = world.callers.departures;
    result.confirmed_releases = world.callers.confirmations;
    result.events = world.callers.watched_revisions.len();
    result.extra_lookup_runs = (lookups, extra);
    result.max_departure_lag_ms = world.ledger.max_departure_lag_us / 1_000;
    let leader = world.leader().and_then(|at| world.control[at].node.as_ref());
    result.members = leader.map_or_else(Vec::new, |node| {
        node.consensus().members().iter().map(|member| member.address.to_string()).collect()
    });
    result.snapshots = world.snapshots;
    result.synced = world.synced;
    result.disk_failures = world.disk_failures;
    result.list_refusals = world.list.refusals as usize;
    result.digest = world.digest;
    result.log = world.log.take().unwrap_or_default();
}

/// Checks that every node has answered the requests that its present incarnation accepted.
fn check_answers(world: &mut World) {
    for id in world.overdue() {
        world.ledger.report(format!("request {id} got no response from a node that still runs"));
    }
}

/// Checks that the plan in force, as last requested, is the newest acknowledged one or one whose
/// order has no conclusive response.
fn check_plan(world: &mut World) {
    let Some(shown) = world.operator.shown_plan.clone() else {
        return world.ledger.report("the plan does not read back".into());
    };
    let last =
        world.operator.version.as_ref().and_then(|version| world.operator.texts.get(version));
    let may_be_in_force = world.operator.possibly_in_force.iter().any(|text| *text == shown);
    if last != Some(&shown) && !may_be_in_force {
        world.ledger.report("the plan in force is not the one last acknowledged".into());
    }
}

/// Runs for six seconds, requests the plan in force, and checks two seconds later that it is the
/// one acknowledged last; `when` ends the text of the violation.
pub(crate) fn read_back_plan(world: &mut World, result: &mut RunResult, when: &str) {
    let until_us = world.now_us + 6_000_000;
    world.run_until(until_us);
    world.request_plan_in_force();
    world.run_until(until_us + 2_000_000);
    let last = world.operator.version.as_ref().and_then(|name| world.operator.texts.get(name));
    if last.is_none() || world.operator.shown_plan.as_ref() != last {
        result.violations.push(format!("the plan acknowledged last does not read back{when}"));
    }
}

/// Checks the whole history of the callers' calls.
pub(crate) fn check_history(world: &mut World) {
    let violations = check_calls(&world.callers);
    violations.into_iter().for_each(|text| world.ledger.report(text));
}
