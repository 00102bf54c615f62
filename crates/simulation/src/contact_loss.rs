//! One control machine loses contact for twenty seconds while some cling to it.

use crate::event::{Event, ProcessId};
use crate::fault::Fault;
use crate::history::check_calls;
use crate::pinned::PinnedClients;
use crate::scenario::recover;
use crate::world::World;
use std::net::IpAddr;

/// How the machine loses contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactLoss {
    /// From everybody.
    Full,
    /// It hears all, and nobody hears it.
    Outbound,
    /// All hear it, and it hears nobody.
    Inbound,
    /// From the other members only; data nodes and those who cling reach it.
    Members,
    /// From data nodes only.
    Data,
    /// It stands still and goes on.
    Frozen,
    /// From everybody, and its process is killed and started in the middle of it.
    Restarted,
}

/// A cut of the leader, or of a follower, from one seed.
#[derive(Clone, Copy, Debug)]
pub struct ContactLossRun {
    pub seed: u64,
    pub kind: ContactLoss,
    pub leader: bool,
}

/// What became of it.
#[derive(Debug, Default)]
pub struct ContactLossResult {
    pub violations: Vec<String>,
    /// Questions to the machine that got an answer, "not taken", or no clear answer.
    pub answered: usize,
    pub unavailable: usize,
    pub unclear: usize,
    /// The longest wait for "not taken" of those asked when the cut had lasted for `NOTICED_US`.
    pub longest_wait_ms: u64,
    pub orders: usize,
    pub plans: u64,
    /// The leader and its term stayed the same.
    pub undisturbed: bool,
}

const START_US: u64 = 4_500_000;
const CUT_US: u64 = 20_000_000;
/// Silence that the machine notices, an election, and a margin.
const NOTICED_US: u64 = 2_500_000;
const AFTER_US: u64 = 3_000_000;
const RESTART_AFTER_US: u64 = 8_000_000;

impl ContactLossRun {
    /// Runs it; the same seed gives the same end.
    pub fn run(&self) -> ContactLossResult {
        let mut world = World::new(self.seed, 3, 6);
        world.request_pause_us = 250_000;
        world.run_until(START_US);
        let leader = world.leader().unwrap_or(0);
        let term = world.term(leader);
        let at = if self.leader { leader } else { (leader + 1) % 3 };
        world.pin_clients_to(at);
        let cut_us = START_US + 1_000_000;
        world.run_until(cut_us);
        self.inject(&mut world, at);
        world.run_until(cut_us + CUT_US);
        world.deliver_requests_before_ticks(ProcessId::Control(at));
        world.inject(Fault::Heal);
        let undisturbed = world.leader() == Some(leader) && world.term(leader) == term;
        world.run_until(cut_us + CUT_US + AFTER_US);
        let undisturbed = undisturbed && world.term(leader) == term;
        world.quiet = true;
        let recovery_ms = recover(&mut world);
        let quiet_us = world.now_us + 3_500_000;
        world.run_until(quiet_us);
        self.collect_result(world, cut_us, recovery_ms, undisturbed)
    }

    fn inject(&self, world: &mut World, at: usize) {
        let others: Vec<usize> = (0..3).filter(|other| *other != at).collect();
        let members: Vec<IpAddr> =
            others.iter().map(|other| world.control[*other].address.ip()).collect();
        let data: Vec<IpAddr> = world.data.iter().map(|machine| machine.address.ip()).collect();
        let all: Vec<IpAddr> = members.iter().chain(&data).copied().collect();
        let (out, into) = match self.kind {
            ContactLoss::Full | ContactLoss::Restarted => (all.clone(), all),
            ContactLoss::Outbound => (all, Vec::new()),
            ContactLoss::Inbound => (Vec::new(), all),
            ContactLoss::Members => (members.clone(), members),
            ContactLoss::Data => (data.clone(), data),
            ContactLoss::Frozen => (Vec::new(), Vec::new()),
        };
        let own = world.control[at].address.ip();
        out.into_iter().for_each(|other| world.net.partition(own, other));
        into.into_iter().for_each(|other| world.net.partition(other, own));
        match self.kind {
            ContactLoss::Frozen => {
                world.frozen.entry(ProcessId::Control(at)).or_default();
            }
            ContactLoss::Restarted => {
                let until_us = world.now_us + RESTART_AFTER_US;
                world.run_until(until_us);
                world.end_control(at, false);
                world.after(500_000, Event::Start(ProcessId::Control(at)));
            }
            _ => {}
        }
    }

    fn collect_result(
        &self,
        mut world: World,
        cut_us: u64,
        recovery_ms: u64,
        undisturbed: bool,
    ) -> ContactLossResult {
        check_calls(&mut world);
        if recovery_ms == u64::MAX {
            world.ledger.violate("no full service after the cut".into());
        }
        let Some(pinned) = world.pinned.take() else { return ContactLossResult::default() };
        check_numbers(&mut world, &pinned);
        let overdue = pinned.overdue(world.now_us);
        if overdue > 0 {
            world.ledger.violate(format!("{overdue} questions never had an end"));
        }
        let noticed = (cut_us + NOTICED_US)..(cut_us + CUT_US);
        let waits =
            pinned.waits_us.iter().filter(|(requested_us, _)| noticed.contains(requested_us));
        ContactLossResult {
            violations: std::mem::take(&mut world.ledger.violations),
            answered: pinned.answered,
            unavailable: pinned.unavailable,
            unclear: pinned.unclear,
            longest_wait_ms: waits.map(|(_, wait_us)| wait_us / 1_000).max().unwrap_or(0),
            orders: pinned.orders,
            plans: world.operator.acknowledged,
            undisturbed,
        }
    }
}

/// What was told as not taken was not counted, and what was told is counted once.
fn check_numbers(world: &mut World, pinned: &PinnedClients) {
    let mut acknowledged = pinned.numbers.clone();
    acknowledged.sort_unstable();
    acknowledged.dedup();
    let Some(node) = world.leader().and_then(|at| world.control[at].node.as_ref()) else { return };
    let counted = node.committed().numbers.get("clung").copied().unwrap_or(0) as usize;
    let max = acknowledged.len() + pinned.numbers_unclear;
    if acknowledged.len() != pinned.numbers.len() || !(acknowledged.len()..=max).contains(&counted)
    {
        let (acknowledged, unclear) = (pinned.numbers.len(), pinned.numbers_unclear);
        world.ledger.violate(format!(
            "{counted} were counted, {acknowledged} acknowledged, {unclear} unclear"
        ));
    }
}

impl World {
    /// Connections keep no order among each other: at worst, whoever stood still reads questions
    /// first, then what other machines sent, and looks at its clock last.
    fn deliver_requests_before_ticks(&mut self, process: ProcessId) {
        if let Some(pending) = self.frozen.get_mut(&process) {
            pending.sort_by_key(|event| match event {
                Event::PinnedArrives { .. } => 0,
                Event::Tick { .. } => 2,
                _ => 1,
            });
        }
    }

    fn term(&self, at: usize) -> Option<u64> {
        self.control[at].node.as_ref().map(|node| node.consensus().term())
    }
}
