//! Runs in which one control machine loses contact for twenty seconds while clients are pinned to
//! it.

use crate::client::pinned::{OWN_NUMBER, PinnedClients};
use crate::event::{Event, ProcessId};
use crate::fault::Fault;
use crate::scenario::{check_history, recover};
use crate::world::World;
use std::net::IpAddr;

/// A way in which a control machine loses contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactLoss {
    /// All frames to and from the other machines are lost.
    Full,
    /// All frames from the machine to the others are lost; the machine still receives.
    Outbound,
    /// All frames from the other machines to this one are lost; the others still receive.
    Inbound,
    /// Frames to and from the other members are lost; data nodes and pinned clients reach the
    /// machine.
    Members,
    /// Frames to and from data nodes are lost; the other members reach the machine.
    Data,
    /// The machine's process is frozen and wakes afterwards; no frame is lost.
    Frozen,
    /// All frames to and from the other machines are lost, and the machine's process is killed and
    /// restarted meanwhile.
    Restarted,
}

/// A run in which the leader or a follower loses contact.
#[derive(Clone, Copy, Debug)]
pub struct ContactLossRun {
    /// The run's seed.
    pub seed: u64,
    /// The way in which the machine loses contact.
    pub kind: ContactLoss,
    /// Whether the leader loses contact; otherwise a follower does.
    pub leader: bool,
}

/// The result of a run in which a control machine lost contact.
#[derive(Debug, Default)]
pub struct ContactLossResult {
    /// The violations of the invariants; empty if the run passed.
    pub violations: Vec<String>,
    /// Number of the pinned clients' requests with a response other than `Unavailable` and
    /// `TimedOut`.
    pub answered: usize,
    /// Number of the pinned clients' requests answered with `Unavailable`.
    pub unavailable: usize,
    /// Number of the pinned clients' requests answered with `TimedOut`.
    pub timed_out: usize,
    /// The longest wait for `Unavailable`, in milliseconds, of requests sent at least 2.5 s after
    /// the loss and before contact returned.
    pub longest_wait_ms: u64,
    /// Number of orders that the pinned clients submitted.
    pub orders: usize,
    /// Number of acknowledgements of plans in the whole run.
    pub plans: u64,
    /// Whether the leader and its term were unchanged when contact returned, and the old leader's
    /// term was still unchanged three seconds later.
    pub leadership_unchanged: bool,
}

/// True time at which the pinned clients start, in microseconds; by then the cluster has formed.
const START_US: u64 = 4_500_000;

/// Duration of the loss of contact, in microseconds.
const CONTACT_LOSS_US: u64 = 20_000_000;

/// Time for the detection of the loss, an election and a margin, in microseconds.
const DETECTION_US: u64 = 2_500_000;

/// Time after the return of contact until the leader's term is compared, in microseconds.
const SETTLING_US: u64 = 3_000_000;

/// Time from the loss of contact until the kill of the process in `ContactLoss::Restarted`, in
/// microseconds.
const KILL_DELAY_US: u64 = 8_000_000;

impl ContactLossRun {
    /// Runs the simulation; the same field values give the same result.
    pub fn run(&self) -> ContactLossResult {
        let mut world = World::new(self.seed, 3, 6);
        world.request_pause_us = 250_000;
        world.run_until(START_US);
        let leader = world.leader().unwrap_or(0);
        let term = world.term(leader);
        let at = if self.leader { leader } else { (leader + 1) % 3 };
        world.pin_clients_to(at);
        let loss_us = START_US + 1_000_000;
        world.run_until(loss_us);
        self.inject(&mut world, at);
        world.run_until(loss_us + CONTACT_LOSS_US);
        world.deliver_requests_before_ticks(ProcessId::Control(at));
        world.inject(Fault::Heal);
        let leadership_unchanged = world.leader() == Some(leader) && world.term(leader) == term;
        world.run_until(loss_us + CONTACT_LOSS_US + SETTLING_US);
        let leadership_unchanged = leadership_unchanged && world.term(leader) == term;
        world.plans_paused = true;
        let recovery_ms = recover(&mut world);
        let until_us = world.now_us + 3_500_000;
        world.run_until(until_us);
        self.collect_result(world, loss_us, recovery_ms, leadership_unchanged)
    }

    /// Starts the loss of contact of control machine `at`.
    fn inject(&self, world: &mut World, at: usize) {
        let others: Vec<usize> = (0..3).filter(|other| *other != at).collect();
        let members: Vec<IpAddr> =
            others.iter().map(|other| world.control[*other].address.ip()).collect();
        let data: Vec<IpAddr> = world.data.iter().map(|machine| machine.address.ip()).collect();
        let all: Vec<IpAddr> = members.iter().chain(&data).copied().collect();
        let (outbound, inbound) = match self.kind {
            ContactLoss::Full | ContactLoss::Restarted => (all.clone(), all),
            ContactLoss::Outbound => (all, Vec::new()),
            ContactLoss::Inbound => (Vec::new(), all),
            ContactLoss::Members => (members.clone(), members),
            ContactLoss::Data => (data.clone(), data),
            ContactLoss::Frozen => (Vec::new(), Vec::new()),
        };
        let own = world.control[at].address.ip();
        outbound.into_iter().for_each(|other| world.network.partition(own, other));
        inbound.into_iter().for_each(|other| world.network.partition(other, own));
        match self.kind {
            ContactLoss::Frozen => {
                world.frozen.entry(ProcessId::Control(at)).or_default();
            }
            ContactLoss::Restarted => {
                let until_us = world.now_us + KILL_DELAY_US;
                world.run_until(until_us);
                world.end_control(at, false);
                world.schedule(500_000, Event::Start(ProcessId::Control(at)));
            }
            _ => {}
        }
    }

    /// Makes the final checks and returns the result.
    fn collect_result(
        &self,
        mut world: World,
        loss_us: u64,
        recovery_ms: u64,
        leadership_unchanged: bool,
    ) -> ContactLossResult {
        check_history(&mut world);
        if recovery_ms == u64::MAX {
            world.ledger.report("no full service after the loss of contact".into());
        }
        let Some(pinned) = world.pinned.take() else { return ContactLossResult::default() };
        check_numbers(&mut world, &pinned);
        let overdue = pinned.overdue(world.now_us);
        if overdue > 0 {
            world.ledger.report(format!("{overdue} requests never had a response"));
        }
        let after_detection = (loss_us + DETECTION_US)..(loss_us + CONTACT_LOSS_US);
        let waits = pinned
            .waits_us
            .iter()
            .filter(|(requested_us, _)| after_detection.contains(requested_us));
        ContactLossResult {
            violations: std::mem::take(&mut world.ledger.violations),
            answered: pinned.answered,
            unavailable: pinned.unavailable,
            timed_out: pinned.timed_out,
            longest_wait_ms: waits.map(|(_, wait_us)| wait_us / 1_000).max().unwrap_or(0),
            orders: pinned.orders,
            plans: world.operator.acknowledged,
            leadership_unchanged,
        }
    }
}

/// Checks that each acknowledged increment of `OWN_NUMBER` was applied once, and that no increment
/// answered as unavailable was applied.
fn check_numbers(world: &mut World, pinned: &PinnedClients) {
    let mut acknowledged = pinned.acknowledged_numbers.clone();
    acknowledged.sort_unstable();
    acknowledged.dedup();
    let Some(node) = world.leader().and_then(|at| world.control[at].node.as_ref()) else { return };
    let applied = node.committed().numbers.get(OWN_NUMBER).copied().unwrap_or(0) as usize;
    let max = acknowledged.len() + pinned.unknown_increments;
    if acknowledged.len() != pinned.acknowledged_numbers.len()
        || !(acknowledged.len()..=max).contains(&applied)
    {
        let (acknowledged, unknown) =
            (pinned.acknowledged_numbers.len(), pinned.unknown_increments);
        world.ledger.report(format!(
            "{applied} increments were applied, {acknowledged} acknowledged, {unknown} unknown"
        ));
    }
}
