//! One control machine loses contact for twenty seconds while clients are pinned to it.

use crate::client::pinned::{OWN_NUMBER, PinnedClients};
use crate::event::{Event, ProcessId};
use crate::fault::Fault;
use crate::scenario::{check_history, recover};
use crate::world::World;
use std::net::IpAddr;

/// How the machine loses contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactLoss {
    /// To and from all other machines.
    Full,
    /// It receives from all, and nobody receives from it.
    Outbound,
    /// All receive from it, and it receives from nobody.
    Inbound,
    /// To and from the other members only; data nodes and pinned clients reach it.
    Members,
    /// To and from data nodes only.
    Data,
    /// Its process is frozen and wakes.
    Frozen,
    /// To and from all, and its process is killed and started meanwhile.
    Restarted,
}

/// A run in which the leader, or a follower, loses contact.
#[derive(Clone, Copy, Debug)]
pub struct ContactLossRun {
    /// The run's seed.
    pub seed: u64,
    /// How contact is lost.
    pub kind: ContactLoss,
    /// Whether the machine leads; otherwise it is a follower.
    pub leader: bool,
}

/// What such a run ended with.
#[derive(Debug, Default)]
pub struct ContactLossResult {
    /// What did not hold.
    pub violations: Vec<String>,
    /// Requests that the machine answered.
    pub answered: usize,
    /// Requests that the machine answered with `Unavailable`.
    pub unavailable: usize,
    /// Requests that timed out.
    pub unclear: usize,
    /// The longest wait for `Unavailable`, in milliseconds, of requests sent `NOTICED_US` or later
    /// after the loss.
    pub longest_wait_ms: u64,
    /// Orders that the pinned clients submitted.
    pub orders: usize,
    /// Plans acknowledged in the whole run.
    pub plans: u64,
    /// The leader and its term stayed the same.
    pub undisturbed: bool,
}

const START_US: u64 = 4_500_000;

const CUT_US: u64 = 20_000_000;

/// Time to notice the loss, an election, and a margin.
const NOTICED_US: u64 = 2_500_000;

const AFTER_US: u64 = 3_000_000;

const RESTART_AFTER_US: u64 = 8_000_000;

impl ContactLossRun {
    /// Runs it; the same seed gives the same result.
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
        out.into_iter().for_each(|other| world.network.partition(own, other));
        into.into_iter().for_each(|other| world.network.partition(other, own));
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
        check_history(&mut world);
        if recovery_ms == u64::MAX {
            world.ledger.violate("no full service after the loss of contact".into());
        }
        let Some(pinned) = world.pinned.take() else { return ContactLossResult::default() };
        check_numbers(&mut world, &pinned);
        let overdue = pinned.overdue(world.now_us);
        if overdue > 0 {
            world.ledger.violate(format!("{overdue} requests never had a response"));
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

/// A call answered as unavailable was not counted, and each acknowledged one was counted once.
fn check_numbers(world: &mut World, pinned: &PinnedClients) {
    let mut acknowledged = pinned.numbers.clone();
    acknowledged.sort_unstable();
    acknowledged.dedup();
    let Some(node) = world.leader().and_then(|at| world.control[at].node.as_ref()) else { return };
    let counted = node.committed().numbers.get(OWN_NUMBER).copied().unwrap_or(0) as usize;
    let max = acknowledged.len() + pinned.numbers_unclear;
    if acknowledged.len() != pinned.numbers.len() || !(acknowledged.len()..=max).contains(&counted)
    {
        let (acknowledged, unclear) = (pinned.numbers.len(), pinned.numbers_unclear);
        world.ledger.violate(format!(
            "{counted} were counted, {acknowledged} acknowledged, {unclear} unclear"
        ));
    }
}
