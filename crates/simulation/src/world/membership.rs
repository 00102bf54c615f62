//! Changes of the group of control machines, and what the leader knows of it.

use crate::clock::Clock;
use crate::network::address;
use crate::node::control::ControlMachine;
use crate::world::World;

const LOOK_US: u64 = 20_000;

/// After this time without a leader the run gives up.
const MAX_LEADERLESS_US: u64 = 10_000_000;

impl World {
    /// Sets the losses to tolerate, and the time after which an unresponsive voter counts as lost.
    pub fn set_quorum_bounds(&mut self, losses: usize, voter_dead_ms: u64) {
        self.losses = losses;
        self.voter_dead_ms = voter_dead_ms;
        for machine in &mut self.control {
            let node = machine.node.take();
            machine.node = node.map(|node| node.with_losses(losses).with_voter_dead(voter_dead_ms));
        }
    }

    /// Starts an empty control machine at a new address; returns its index.
    pub fn add_control(&mut self) -> usize {
        self.add_control_machine(false)
    }

    /// Starts a control machine without a lasting disk, which forwards requests and is never a
    /// member.
    pub fn add_observer(&mut self) -> usize {
        self.add_control_machine(true)
    }

    pub(crate) fn add_control_machine(&mut self, observer: bool) -> usize {
        let at = self.control.len();
        let clock = Clock::draw(&mut self.random);
        let mut machine = ControlMachine::new(address(1, 100 + at, 1), clock);
        machine.observer = observer;
        self.control.push(machine);
        self.start_control(at);
        at
    }

    pub(crate) fn until_led(&mut self) -> u64 {
        let since_us = self.now_us;
        while self.leader().is_none() && self.now_us < since_us + MAX_LEADERLESS_US {
            self.run_for(LOOK_US);
        }
        (self.now_us - since_us) / 1_000
    }

    pub(crate) fn run_for(&mut self, for_us: u64) {
        self.run_until(self.now_us + for_us);
    }

    /// Loses this machine for good, at once.
    pub(crate) fn retire(&mut self, at: usize) {
        self.control[at].retired_us = Some(self.now_us);
        self.end_control(at, true);
    }

    /// Shuts this process down gracefully and for good.
    pub(crate) fn stop_for_good(&mut self, at: usize) {
        self.control[at].retired_us = Some(self.now_us);
        self.rolling_restart_control(at);
    }

    /// Indexes of the running voters, the leader first or left out.
    pub(crate) fn control_voters(&self, with_leader: bool) -> Vec<usize> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let node = self.control[leader].node.as_ref().expect("the leader runs");
        let members = node.consensus().members();
        let votes = |at: &usize| {
            let node = self.control[*at].node.as_ref();
            node.is_some_and(|node| members.iter().any(|one| one.id == node.consensus().id()))
        };
        let others = (0..self.control.len()).filter(|at| *at != leader).filter(votes);
        with_leader.then_some(leader).into_iter().chain(others).collect()
    }

    /// Whether the leader knows as committed that `newcomers` vote and `gone` do not.
    pub(crate) fn are_committed(&self, newcomers: &[usize], departed: &[usize]) -> bool {
        let Some(node) = self.leader().and_then(|at| self.control[at].node.as_ref()) else {
            return false;
        };
        let log = node.consensus();
        let votes = |at: &usize| {
            let address = self.control[*at].address;
            log.members().iter().any(|member| member.address == address)
        };
        let is_committed = log.log().config_index() <= log.commit_index();
        is_committed && newcomers.iter().all(votes) && !departed.iter().any(votes)
    }

    pub(crate) fn term(&self, at: usize) -> Option<u64> {
        self.control[at].node.as_ref().map(|node| node.consensus().term())
    }
}
