//! Changes of the group of control machines, and the group as the leader knows it.

use crate::clock::Clock;
use crate::network::address;
use crate::node::control::ControlMachine;
use crate::world::World;

/// Interval of the checks whether there is a leader, in microseconds.
const POLL_US: u64 = 20_000;

/// Time for which a run waits for a leader, in microseconds.
const MAX_ELECTION_WAIT_US: u64 = 10_000_000;

impl World {
    /// Sets the number of simultaneous losses to tolerate, and the time in milliseconds after which
    /// an unresponsive voter counts as lost, for running and future control nodes.
    pub fn set_quorum_bounds(&mut self, losses: usize, voter_dead_ms: u64) {
        self.losses = losses;
        self.voter_dead_ms = voter_dead_ms;
        for machine in &mut self.control {
            let node = machine.node.take();
            machine.node = node
                .map(|node| node.with_tolerated_losses(losses).with_voter_dead_ms(voter_dead_ms));
        }
    }

    /// Starts a control machine with an empty disk at a new address and returns its index.
    pub fn add_control(&mut self) -> usize {
        self.add_control_machine(false)
    }

    /// Starts a control machine without a persistent disk, which forwards requests and is never a
    /// member, and returns its index.
    pub fn add_observer(&mut self) -> usize {
        self.add_control_machine(true)
    }

    /// Starts a control machine with an empty disk at a new address, as an observer if `observer`,
    /// and returns its index.
    pub(crate) fn add_control_machine(&mut self, observer: bool) -> usize {
        let at = self.control.len();
        let clock = Clock::draw(&mut self.random);
        let mut machine = ControlMachine::new(address(1, 100 + at, 1), clock);
        machine.observer = observer;
        self.control.push(machine);
        self.start_control(at);
        at
    }

    /// Runs until a control node leads, for ten seconds at most, and returns the milliseconds that
    /// this took.
    pub(crate) fn run_until_leader(&mut self) -> u64 {
        let since_us = self.now_us;
        while self.leader().is_none() && self.now_us < since_us + MAX_ELECTION_WAIT_US {
            self.run_for(POLL_US);
        }
        (self.now_us - since_us) / 1_000
    }

    /// Handles all events of this many microseconds from now.
    pub(crate) fn run_for(&mut self, for_us: u64) {
        self.run_until(self.now_us + for_us);
    }

    /// Ends the process of control machine `at` by a power loss and marks the machine as retired.
    pub(crate) fn lose_and_retire(&mut self, at: usize) {
        self.control[at].retired_us = Some(self.now_us);
        self.end_control(at, true);
    }

    /// Marks control machine `at` as retired and shuts its process down gracefully.
    pub(crate) fn shut_down_and_retire(&mut self, at: usize) {
        self.control[at].retired_us = Some(self.now_us);
        self.rolling_restart_control(at);
    }

    /// Returns the indexes of the running voters; the leader comes first, or is left out unless
    /// `with_leader`. Without a leader there are none.
    pub(crate) fn control_voters(&self, with_leader: bool) -> Vec<usize> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let node = self.control[leader].node.as_ref().expect("the leader runs");
        let members = node.consensus().members();
        let is_voter = |at: &usize| {
            let node = self.control[*at].node.as_ref();
            node.is_some_and(|node| members.iter().any(|member| member.id == node.consensus().id()))
        };
        let other_voters = (0..self.control.len()).filter(|at| *at != leader).filter(is_voter);
        with_leader.then_some(leader).into_iter().chain(other_voters).collect()
    }

    /// Returns whether the leader's newest configuration is committed, with all `new_machines` and
    /// none of the `replaced` ones as members.
    pub(crate) fn is_replacement_committed(
        &self,
        new_machines: &[usize],
        replaced: &[usize],
    ) -> bool {
        let Some(node) = self.leader().and_then(|at| self.control[at].node.as_ref()) else {
            return false;
        };
        let consensus = node.consensus();
        let is_voter = |at: &usize| {
            let address = self.control[*at].address;
            consensus.members().iter().any(|member| member.address == address)
        };
        let is_committed = consensus.log().config_index() <= consensus.commit_index();
        is_committed && new_machines.iter().all(is_voter) && !replaced.iter().any(is_voter)
    }

    /// Returns the term of control node `at`; `None` while its process is down.
    pub(crate) fn term(&self, at: usize) -> Option<u64> {
        self.control[at].node.as_ref().map(|node| node.consensus().term())
    }
}
