//! The events that may occur next at a state, and the state to which each of them leads.

use crate::world::*;
use postbarrow_consensus::*;
use std::collections::VecDeque;
use std::sync::Arc;

/// An event that may occur next. A number without a description is the index of a machine.
#[derive(Clone, Debug)]
pub enum Action {
    /// The oldest message in flight arrives.
    Deliver,
    /// The oldest message in flight arrives, and a copy of it may arrive later, out of order.
    Duplicate,
    /// The oldest message in flight is delayed: it may arrive later, out of order.
    Delay,
    /// The message at this index of those out of order arrives.
    DeliverLate(usize),
    Isolate(Isolation),
    Rejoin,
    Tick(usize),
    /// The machine's disk becomes slow: its writes stay unsynced until `Sync`.
    SlowDisk(usize),
    /// The oldest unsynced write of the machine is synced.
    Sync(usize),
    Crash(usize),
    LoseDisk(usize),
    Propose(usize),
    TransferLeadership(usize),
    Compact(usize),
    /// The first machine, which leads, receives the request of the second to become a learner.
    AddLearner(usize, usize),
    /// The clock advances by so many milliseconds.
    Advance(u64),
}

impl Action {
    /// Returns whether the action is the arrival of a message in order, which the search does not
    /// count as a choice.
    pub fn is_in_order_delivery(&self) -> bool {
        matches!(self, Action::Deliver)
    }
}

/// The rules of a model beside the bounds of its world.
#[derive(Clone)]
pub struct Rules {
    /// The steps by which the clock may advance, in milliseconds.
    pub steps_ms: Vec<u64>,
    /// Whether machines restart, pause and are partitioned only while no message is in flight,
    /// apart from those that arrive out of order.
    pub faults_only_when_idle: bool,
    /// Age from which times no longer distinguish states, in milliseconds.
    pub horizon_ms: u64,
}

impl World {
    /// Returns the actions that are possible at this state.
    pub fn actions(&self, rules: &Rules) -> Vec<Action> {
        let mut out = Vec::new();
        let remaining = &self.remaining;
        let is_idle = self.in_flight.is_empty();
        let mut offer = |allowed: bool, action: Action| {
            if allowed {
                out.push(action);
            }
        };
        offer(!is_idle, Action::Deliver);
        offer(!is_idle && remaining.duplicates > 0, Action::Duplicate);
        offer(!is_idle && remaining.delays > 0, Action::Delay);
        offer(is_idle && self.isolation.is_some(), Action::Rejoin);
        for at in 0..self.out_of_order.len() {
            offer(!self.is_isolated(&self.out_of_order[at]), Action::DeliverLate(at));
        }
        for at in 0..self.machines.len() {
            let can_isolate = self.isolation.is_none() && (is_idle || !rules.faults_only_when_idle);
            offer(
                can_isolate && remaining.partitions > 0,
                Action::Isolate(Isolation { at, paused: false }),
            );
            offer(
                can_isolate && remaining.pauses > 0,
                Action::Isolate(Isolation { at, paused: true }),
            );
            self.machine_actions(at, is_idle || !rules.faults_only_when_idle, &mut offer);
        }
        if is_idle && remaining.advances > 0 {
            out.extend(rules.steps_ms.iter().map(|step_ms| Action::Advance(*step_ms)));
        }
        out
    }

    fn is_isolated(&self, sent_message: &SentMessage) -> bool {
        self.isolation.is_some_and(|isolation| {
            let id = self.machines[isolation.at].node.id();
            sent_message.to.id == id || (sent_message.from.id == id && !isolation.paused)
        })
    }

    fn is_paused(&self, at: usize) -> bool {
        self.isolation == Some(Isolation { at, paused: true })
    }

    /// Offers the actions of one machine. Ticks, proposals, transfers, compactions and learners are
    /// offered only while no message is in flight, apart from those that arrive out of order.
    fn machine_actions(
        &self,
        at: usize,
        faults_allowed: bool,
        offer: &mut impl FnMut(bool, Action),
    ) {
        let (machine, remaining) = (&self.machines[at], &self.remaining);
        if self.is_paused(at) {
            return;
        }
        offer(!machine.unsynced.is_empty(), Action::Sync(at));
        offer(faults_allowed && !machine.slow && remaining.slow_disks > 0, Action::SlowDisk(at));
        offer(faults_allowed && remaining.crashes > 0, Action::Crash(at));
        offer(faults_allowed && remaining.lost_disks > 0, Action::LoseDisk(at));
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
            offer(can_join, Action::AddLearner(at, other));
        }
    }

    /// Returns the state after an action, or the property that the action violates.
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
            | Action::AddLearner(..) => self.perform_input(action)?,
        }
        self.check()
    }

    fn perform_delivery(&mut self, action: &Action) -> Result<(), String> {
        let sent_message = match *action {
            Action::DeliverLate(at) => self.out_of_order.remove(at),
            _ => self.in_flight.remove(0),
        };
        match *action {
            Action::Duplicate => {
                self.remaining.duplicates -= 1;
                self.out_of_order.push(sent_message.clone());
            }
            Action::Delay => {
                self.remaining.delays -= 1;
                self.out_of_order.push(sent_message);
                return Ok(());
            }
            _ => {}
        }
        self.receive(sent_message)
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
            _ => unreachable!("{action:?} is not a fault"),
        }
    }

    fn perform_input(&mut self, action: &Action) -> Result<(), String> {
        let remaining = &mut self.remaining;
        match *action {
            Action::Tick(at) => {
                remaining.ticks -= 1;
                self.handle_input(at, Input::Tick)
            }
            Action::Propose(at) => {
                remaining.proposals -= 1;
                let batch = vec![remaining.proposals, self.machines[at].node.id() as u8];
                self.handle_input(at, Input::Propose(vec![batch]))
            }
            Action::TransferLeadership(at) => {
                remaining.leadership_transfers -= 1;
                self.handle_input(at, Input::TransferLeadership(Vec::new()))
            }
            Action::Compact(at) => {
                remaining.compactions -= 1;
                let index = self.machines[at].node.commit_index();
                self.handle_input(at, Input::Compact { index, state: vec![index as u8] })
            }
            Action::AddLearner(at, other) => {
                remaining.learners -= 1;
                let learner = member(self.machines[other].node.id());
                self.handle_input(at, Input::AddLearner(learner))
            }
            _ => unreachable!("{action:?} is not an input"),
        }
    }

    fn receive(&mut self, sent_message: Arc<SentMessage>) -> Result<(), String> {
        if self.is_isolated(&sent_message) {
            if self.isolation.is_some_and(|isolation| isolation.paused) {
                self.out_of_order.push(sent_message);
            }
            return Ok(());
        }
        let is_recipient = |machine: &Arc<Machine>| machine.node.id() == sent_message.to.id;
        if let Some(at) = self.machines.iter().position(is_recipient) {
            let input =
                Input::Receive { from: sent_message.from, message: sent_message.message.clone() };
            return self.handle_input(at, input);
        }
        let lost_its_disk =
            |machine: &Arc<Machine>| machine.replaced_id == Some(sent_message.to.id);
        if let (true, Message::LeaderProbe { round, .. }) =
            (self.machines.iter().any(lost_its_disk), &sent_message.message)
        {
            let message =
                Message::LeaderProbeResponse { term: 0, round: *round, not_leading: true };
            self.send(SentMessage { from: sent_message.to, to: sent_message.from, message });
        }
        Ok(())
    }

    fn handle_input(&mut self, at: usize, input: Input) -> Result<(), String> {
        let now_ms = self.now_ms;
        let effects = Arc::make_mut(&mut self.machines[at]).node.handle(now_ms, input);
        for effect in effects {
            self.handle_effect(at, effect)?;
        }
        while !self.machines[at].slow && !self.machines[at].unsynced.is_empty() {
            self.sync(at)?;
        }
        Ok(())
    }

    fn handle_effect(&mut self, at: usize, effect: Effect) -> Result<(), String> {
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
                self.send(SentMessage { from: member(id), to, message });
            }
            Effect::Write { sequence, write } => machine.unsynced.push_back((sequence, write)),
            Effect::Commit(entries) => ledger.on_commit(machine, &entries)?,
            Effect::Restore(snapshot) => ledger.on_restore(machine, &snapshot)?,
            Effect::Role(Role::Leader) => ledger.on_leader_elected(&machine.node)?,
            Effect::Role(_) | Effect::LeadershipReceived { .. } => {}
        }
        Ok(())
    }

    fn send(&mut self, sent_message: SentMessage) {
        self.in_flight.push(Arc::new(sent_message));
    }

    /// Stores the oldest unsynced write on the disk and notifies the member.
    fn sync(&mut self, at: usize) -> Result<(), String> {
        let machine = Arc::make_mut(&mut self.machines[at]);
        let Some((sequence, write)) = machine.unsynced.pop_front() else { return Ok(()) };
        machine.disk.apply(write);
        let now_ms = self.now_ms;
        let effects = machine.node.handle(now_ms, Input::Synced(sequence));
        effects.into_iter().try_for_each(|effect| self.handle_effect(at, effect))
    }

    /// Restarts the process from its synced state or, if the disk is lost, from an empty disk under
    /// a new identity.
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
            id += LOST_DISK_ID_OFFSET;
        }
        machine.applied = machine.disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let recovered = machine.disk.recovered();
        machine.node = Consensus::new(id, recovered, seed(id, machine.incarnation), now_ms);
    }
}
