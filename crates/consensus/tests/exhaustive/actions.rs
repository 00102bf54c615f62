//! Every event that may come next at a state, and the state it leads to.

use crate::world::*;
use postbarrow_consensus::*;
use std::collections::VecDeque;
use std::sync::Arc;

#[derive(Clone, Debug)]
pub enum Action {
    /// The message that was sent first arrives.
    Deliver,
    /// It arrives, and will arrive again out of order.
    Duplicate,
    /// It arrives out of order.
    Delay,
    DeliverLate(usize),
    Isolate(Isolation),
    Rejoin,
    Tick(usize),
    SlowDisk(usize),
    Sync(usize),
    Crash(usize),
    LoseDisk(usize),
    Propose(usize),
    TransferLeadership(usize),
    Compact(usize),
    /// The leader, the first machine, receives the second machine's request to follow the log.
    Learner(usize, usize),
    Advance(u64),
}

impl Action {
    /// Whether it is no choice of the search: messages arrive in order.
    pub fn is_expected(&self) -> bool {
        matches!(self, Action::Deliver)
    }
}

/// What a model permits beside the bounds of its world.
#[derive(Clone)]
pub struct Rules {
    /// The clock advances by one of these.
    pub steps_ms: Vec<u64>,
    /// Machines restart, pause and are partitioned only while no message is in flight in order.
    pub faults_when_quiet: bool,
    pub horizon_ms: u64,
}

impl World {
    pub fn actions(&self, rules: &Rules) -> Vec<Action> {
        let mut out = Vec::new();
        let remaining = &self.remaining;
        let quiet = self.in_flight.is_empty();
        let mut offer = |allowed: bool, action: Action| {
            if allowed {
                out.push(action);
            }
        };
        offer(!quiet, Action::Deliver);
        offer(!quiet && remaining.duplicates > 0, Action::Duplicate);
        offer(!quiet && remaining.delays > 0, Action::Delay);
        offer(quiet && self.isolation.is_some(), Action::Rejoin);
        for at in 0..self.out_of_turn.len() {
            offer(!self.is_isolated(&self.out_of_turn[at]), Action::DeliverLate(at));
        }
        for at in 0..self.machines.len() {
            let can_isolate = self.isolation.is_none() && (quiet || !rules.faults_when_quiet);
            offer(
                can_isolate && remaining.partitions > 0,
                Action::Isolate(Isolation { at, paused: false }),
            );
            offer(
                can_isolate && remaining.pauses > 0,
                Action::Isolate(Isolation { at, paused: true }),
            );
            self.machine_actions(at, quiet || !rules.faults_when_quiet, &mut offer);
        }
        if quiet && remaining.advances > 0 {
            out.extend(rules.steps_ms.iter().map(|step_ms| Action::Advance(*step_ms)));
        }
        out
    }

    fn is_isolated(&self, flight: &Flight) -> bool {
        self.isolation.is_some_and(|isolation| {
            let id = self.machines[isolation.at].node.id();
            flight.to.id == id || (flight.from.id == id && !isolation.paused)
        })
    }

    fn is_paused(&self, at: usize) -> bool {
        self.isolation == Some(Isolation { at, paused: true })
    }

    /// The clock, timers and operators act once nothing is in flight but what arrives out of order.
    fn machine_actions(&self, at: usize, faults: bool, offer: &mut impl FnMut(bool, Action)) {
        let (machine, remaining) = (&self.machines[at], &self.remaining);
        if self.is_paused(at) {
            return;
        }
        offer(!machine.unsynced.is_empty(), Action::Sync(at));
        offer(faults && !machine.slow && remaining.slow_disks > 0, Action::SlowDisk(at));
        offer(faults && remaining.crashes > 0, Action::Crash(at));
        offer(faults && remaining.lost_disks > 0, Action::LoseDisk(at));
        if !self.in_flight.is_empty() {
            return;
        }
        let is_leader = machine.node.role() == Role::Leader;
        offer(remaining.ticks > 0, Action::Tick(at));
        offer(remaining.proposals > 0 && is_leader, Action::Propose(at));
        offer(remaining.leadership_transfers > 0 && is_leader, Action::TransferLeadership(at));
        let snapshot_index = machine.disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        offer(
            remaining.compactions > 0 && machine.node.commit_index() > snapshot_index,
            Action::Compact(at),
        );
        for (other, candidate) in self.machines.iter().enumerate() {
            let can_join = candidate.replaced_id.is_some() && is_leader && remaining.learners > 0;
            offer(can_join, Action::Learner(at, other));
        }
    }

    pub fn after(&self, action: &Action) -> Result<World, String> {
        let mut next = self.clone();
        next.perform(action)?;
        Ok(next)
    }

    pub fn perform(&mut self, action: &Action) -> Result<(), String> {
        match *action {
            Action::Deliver | Action::Duplicate | Action::Delay | Action::DeliverLate(_) => {
                self.perform_delivery(action)?
            }
            Action::Isolate(_)
            | Action::Rejoin
            | Action::SlowDisk(_)
            | Action::Crash(_)
            | Action::LoseDisk(_) => self.perform_fault(action),
            Action::Sync(at) => self.sync(at)?,
            Action::Advance(step_ms) => {
                self.remaining.advances -= 1;
                self.now_ms += step_ms;
            }
            Action::Tick(_)
            | Action::Propose(_)
            | Action::TransferLeadership(_)
            | Action::Compact(_)
            | Action::Learner(..) => self.perform_input(action)?,
        }
        self.check()
    }

    fn perform_delivery(&mut self, action: &Action) -> Result<(), String> {
        let flight = match *action {
            Action::DeliverLate(at) => self.out_of_turn.remove(at),
            _ => self.in_flight.remove(0),
        };
        match *action {
            Action::Duplicate => {
                self.remaining.duplicates -= 1;
                self.out_of_turn.push(flight.clone());
            }
            Action::Delay => {
                self.remaining.delays -= 1;
                self.out_of_turn.push(flight);
                return Ok(());
            }
            _ => {}
        }
        self.arrive(flight)
    }

    fn perform_fault(&mut self, action: &Action) {
        let remaining = &mut self.remaining;
        match *action {
            Action::Isolate(isolation) => {
                match isolation.paused {
                    true => remaining.pauses -= 1,
                    false => remaining.partitions -= 1,
                }
                self.isolation = Some(isolation);
            }
            Action::Rejoin => self.isolation = None,
            Action::SlowDisk(at) => {
                remaining.slow_disks -= 1;
                Arc::make_mut(&mut self.machines[at]).slow = true;
            }
            Action::Crash(at) => {
                remaining.crashes -= 1;
                self.restart(at, false);
            }
            Action::LoseDisk(at) => {
                remaining.lost_disks -= 1;
                self.restart(at, true);
            }
            _ => unreachable!("{action:?} is no fault"),
        }
    }

    fn perform_input(&mut self, action: &Action) -> Result<(), String> {
        let remaining = &mut self.remaining;
        match *action {
            Action::Tick(at) => {
                remaining.ticks -= 1;
                self.give(at, Input::Tick)
            }
            Action::Propose(at) => {
                remaining.proposals -= 1;
                let batch = vec![remaining.proposals, self.machines[at].node.id() as u8];
                self.give(at, Input::Propose(vec![batch]))
            }
            Action::TransferLeadership(at) => {
                remaining.leadership_transfers -= 1;
                self.give(at, Input::TransferLeadership(Vec::new()))
            }
            Action::Compact(at) => {
                remaining.compactions -= 1;
                let index = self.machines[at].node.commit_index();
                self.give(at, Input::Compact { index, state: vec![index as u8] })
            }
            Action::Learner(at, other) => {
                remaining.learners -= 1;
                let learner = member(self.machines[other].node.id());
                self.give(at, Input::AddLearner(learner))
            }
            _ => unreachable!("{action:?} is no input"),
        }
    }

    fn arrive(&mut self, flight: Arc<Flight>) -> Result<(), String> {
        if self.is_isolated(&flight) {
            if self.isolation.is_some_and(|isolation| isolation.paused) {
                self.out_of_turn.push(flight);
            }
            return Ok(());
        }
        let is_recipient = |machine: &Arc<Machine>| machine.node.id() == flight.to.id;
        if let Some(at) = self.machines.iter().position(is_recipient) {
            let input = Input::Receive { from: flight.from, message: flight.message.clone() };
            return self.give(at, input);
        }
        let lost_its_disk = |machine: &Arc<Machine>| machine.replaced_id == Some(flight.to.id);
        if let (true, Message::LeaderProbe { round, .. }) =
            (self.machines.iter().any(lost_its_disk), &flight.message)
        {
            let message =
                Message::LeaderProbeResponse { term: 0, round: *round, not_leading: true };
            self.send(Flight { from: flight.to, to: flight.from, message });
        }
        Ok(())
    }

    fn give(&mut self, at: usize, input: Input) -> Result<(), String> {
        let now_ms = self.now_ms;
        let effects = Arc::make_mut(&mut self.machines[at]).node.handle(now_ms, input);
        for effect in effects {
            self.carry_out(at, effect)?;
        }
        while !self.machines[at].slow && !self.machines[at].unsynced.is_empty() {
            self.sync(at)?;
        }
        Ok(())
    }

    fn carry_out(&mut self, at: usize, effect: Effect) -> Result<(), String> {
        let ledger = Arc::make_mut(&mut self.ledger);
        let machine = Arc::make_mut(&mut self.machines[at]);
        let id = machine.node.id();
        match effect {
            Effect::Send { to, message } => {
                match &message {
                    Message::VoteResponse { term, granted: true } => {
                        ledger.on_vote(*term, id, to.id)?
                    }
                    Message::Vote(request) => ledger.on_vote(request.term, id, id)?,
                    _ => {}
                }
                self.send(Flight { from: member(id), to, message });
            }
            Effect::Write { sequence, write } => machine.unsynced.push_back((sequence, write)),
            Effect::Commit(entries) => ledger.on_commit(machine, &entries)?,
            Effect::Restore(snapshot) => ledger.on_restore(machine, &snapshot)?,
            Effect::Role(Role::Leader) => ledger.on_leader_elected(&machine.node)?,
            Effect::Role(_) | Effect::LeadershipReceived { .. } => {}
        }
        Ok(())
    }

    fn send(&mut self, flight: Flight) {
        self.in_flight.push(Arc::new(flight));
    }

    /// The oldest write is on disk now, and the member is notified.
    fn sync(&mut self, at: usize) -> Result<(), String> {
        let machine = Arc::make_mut(&mut self.machines[at]);
        let Some((sequence, write)) = machine.unsynced.pop_front() else { return Ok(()) };
        machine.disk.apply(write);
        let now_ms = self.now_ms;
        let effects = machine.node.handle(now_ms, Input::Synced(sequence));
        effects.into_iter().try_for_each(|effect| self.carry_out(at, effect))
    }

    /// The process starts again from what is synced, or from an empty disk under a new identity.
    fn restart(&mut self, at: usize, disk_lost: bool) {
        let now_ms = self.now_ms;
        let machine = Arc::make_mut(&mut self.machines[at]);
        machine.unsynced = VecDeque::new();
        machine.slow = false;
        machine.incarnation += 1;
        let mut id = machine.node.id();
        if disk_lost {
            machine.replaced_id = Some(id);
            machine.disk = Disk::default();
            id += LOST_DISK_STEP;
        }
        machine.applied = machine.disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let recovered = machine.disk.recovered();
        machine.node = Consensus::new(id, recovered, seed(id, machine.incarnation), now_ms);
    }
}
