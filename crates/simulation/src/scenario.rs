//! One run: a world, the faults drawn for it, the wait for full service, the final checks.

use crate::event::Event;
use crate::fault::{ALL, Fault};
use crate::history::check_calls;
use crate::ledger::OutcomeCounts;
use crate::random::Random;
use crate::world::World;
use std::collections::BTreeSet;

/// What to bring about, from one seed.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub faults: Vec<Fault>,
    /// How many are drawn from `faults`, each healed or overlapped by the next.
    pub count: usize,
    pub data_nodes: usize,
    pub targets: usize,
    pub log: bool,
    /// Brought about after all else is well, and recovered from without help.
    pub last: Option<Fault>,
    /// Before any drawn fault: each so many milliseconds after the one before.
    pub script: Vec<(u64, Fault)>,
    /// Of a thousand runs at a target, so many lose their response.
    pub lost_per_mille: u64,
    /// Zones are so far apart.
    pub zone_us: u64,
}

#[derive(Debug, Default)]
pub struct RunResult {
    pub violations: Vec<String>,
    pub recovery_ms: u64,
    pub requests: usize,
    pub outcomes: OutcomeCounts,
    pub forwards: u64,
    pub plans: u64,
    pub refusals: u64,
    pub calls: usize,
    pub events: usize,
    pub extra: (usize, usize),
    pub longest_leave_ms: u64,
    pub digest: u64,
    pub members: Vec<String>,
    pub snapshots: usize,
    pub synced: (usize, usize),
    pub disk_failures: usize,
    pub list_refusals: usize,
    pub log: Vec<String>,
}

const RECOVERY_MS: u64 = 15_000;

impl Scenario {
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

    pub fn everything(seed: u64) -> Self {
        Scenario::new(seed, &ALL, 6)
    }

    pub fn run(&self) -> RunResult {
        let mut world = World::new(self.seed, self.data_nodes, self.targets);
        if self.log {
            world.log = Some(Vec::new());
        }
        world.targets.iter_mut().for_each(|target| target.lost_per_mille = self.lost_per_mille);
        world.net.zone_us = self.zone_us;
        let mut random = Random::new(self.seed ^ 0xfa_017);
        world.run_until(6_000_000);
        let formed = world.has_full_service();
        let mut at_us = 6_000_000;
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
}

/// Full service: all nodes ready on one version, and requests of each kind run.
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

impl World {
    pub fn has_full_service(&self) -> bool {
        let versions: BTreeSet<_> =
            self.data.iter().map(|machine| machine.table.state.plan_version()).collect();
        (0..self.data.len()).all(|at| self.is_ready(at)) && versions.len() == 1
    }

    pub fn target_of(&self, request: u64) -> Option<String> {
        self.requests.get(&request)?.target_name()
    }
}

pub(crate) fn finish(world: &mut World, outcome: &mut RunResult) {
    if outcome.recovery_ms > RECOVERY_MS {
        outcome.violations.push(format!("no full service {RECOVERY_MS} ms after the last fault"));
    }
    check_calls(world);
    check_plan(world);
    check_answers(world);
    let (lookups, extra) = world.ledger.extra();
    if extra as f64 > lookups as f64 / 5.0 + 3.0 * world.now_us as f64 / 1e6 {
        world.ledger.violate(format!("{extra} extra goes for {lookups} lookups"));
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
    outcome.longest_leave_ms = world.ledger.longest_leave_us / 1_000;
    let leader = world
        .control
        .iter()
        .find_map(|machine| machine.node.as_ref().filter(|node| node.is_leading()));
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

/// A node that lives on answers every request that it took.
fn check_answers(world: &mut World) {
    for id in world.overdue() {
        world.ledger.violate(format!("request {id} got no answer from a node that lives"));
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
