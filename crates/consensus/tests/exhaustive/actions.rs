//! Every event that may come next at a state, and the state it leads to.

use crate::world::*;
use postbarrow_consensus::*;
use std::collections::VecDeque;
use std::sync::Arc;

#[derive(Clone, Debug)]
pub enum Action {
    /// The message that was sent first arrives.
    Deliver,
    /// It arrives, and will arrive again out of turn.
    Duplicate,
    /// It comes out of turn.
    Delay,
    DeliverLate(usize),
    Part(Apart),
    Join,
    Tick(usize),
    SlowDisk(usize),
    Sync(usize),
    Crash(usize),
    LoseDisk(usize),
    Propose(usize),
    HandOver(usize),
    Compact(usize),
    /// The leader at the first place is asked to take in the machine at the second.
    Learner(usize, usize),
    Advance(u64),
}

impl Action {
    /// What happens without a choice of the search: messages arrive in turn.
    pub fn is_expected(&self) -> bool {
        matches!(self, Action::Deliver)
    }
}

/// What a model lets happen beside the bounds of its world.
#[derive(Clone)]
pub struct Rules {
    /// The clock goes on by one of these.
    pub steps_ms: Vec<u64>,
    /// Machines restart, freeze and are cut off only while no message is under way in its turn.
    pub faults_when_quiet: bool,
    pub horizon_ms: u64,
}

impl World {
    pub fn actions(&self, rules: &Rules) -> Vec<Action> {
        let mut out = Vec::new();
        let left = &self.left;
        let quiet = self.flights.is_empty();
        let mut may = |allowed: bool, action: Action| {
            if allowed {
                out.push(action);
            }
        };
        may(!quiet, Action::Deliver);
        may(!quiet && left.duplicates > 0, Action::Duplicate);
        may(!quiet && left.delays > 0, Action::Delay);
        may(quiet && self.apart.is_some(), Action::Join);
        for at in 0..self.late.len() {
            may(!self.is_apart(&self.late[at]), Action::DeliverLate(at));
        }
        for at in 0..self.machines.len() {
            let free = self.apart.is_none() && (quiet || !rules.faults_when_quiet);
            may(free && left.cuts > 0, Action::Part(Apart { at, frozen: false }));
            may(free && left.freezes > 0, Action::Part(Apart { at, frozen: true }));
            self.machine_actions(at, quiet || !rules.faults_when_quiet, &mut may);
        }
        if quiet && left.advances > 0 {
            out.extend(rules.steps_ms.iter().map(|step_ms| Action::Advance(*step_ms)));
        }
        out
    }

    fn is_apart(&self, flight: &Flight) -> bool {
        self.apart.is_some_and(|apart| {
            let id = self.machines[apart.at].node.id();
            flight.to.id == id || (flight.from.id == id && !apart.frozen)
        })
    }

    fn is_frozen(&self, at: usize) -> bool {
        self.apart == Some(Apart { at, frozen: true })
    }

    /// The clock, timers and operators act once nothing is under way but what comes out of turn.
    fn machine_actions(&self, at: usize, faults: bool, may: &mut impl FnMut(bool, Action)) {
        let (machine, left) = (&self.machines[at], &self.left);
        if self.is_frozen(at) {
            return;
        }
        may(!machine.unsynced.is_empty(), Action::Sync(at));
        may(faults && !machine.slow && left.slow_disks > 0, Action::SlowDisk(at));
        may(faults && left.crashes > 0, Action::Crash(at));
        may(faults && left.lost_disks > 0, Action::LoseDisk(at));
        if !self.flights.is_empty() {
            return;
        }
        let leads = machine.node.role() == Role::Leader;
        may(left.ticks > 0, Action::Tick(at));
        may(left.proposals > 0 && leads, Action::Propose(at));
        may(left.hand_overs > 0 && leads, Action::HandOver(at));
        let fresh = machine.disk.snapshot.as_ref().map_or(0, |kept| kept.index);
        may(left.compactions > 0 && machine.node.commit_index() > fresh, Action::Compact(at));
        for (other, stranger) in self.machines.iter().enumerate() {
            let joins = stranger.before.is_some() && leads && left.learners > 0;
            may(joins, Action::Learner(at, other));
        }
    }

    pub fn after(&self, action: &Action) -> Result<World, String> {
        let mut next = self.clone();
        next.perform(action)?;
        Ok(next)
    }

    pub fn perform(&mut self, action: &Action) -> Result<(), String> {
        let left = &mut self.left;
        match *action {
            Action::Deliver => {
                let flight = self.flights.remove(0);
                self.arrive(flight)?;
            }
            Action::Duplicate => {
                left.duplicates -= 1;
                let flight = self.flights.remove(0);
                self.late.push(flight.clone());
                self.arrive(flight)?;
            }
            Action::Delay => {
                left.delays -= 1;
                self.late.push(self.flights.remove(0));
            }
            Action::DeliverLate(at) => {
                let flight = self.late.remove(at);
                self.arrive(flight)?;
            }
            Action::Part(apart) => {
                match apart.frozen {
                    true => left.freezes -= 1,
                    false => left.cuts -= 1,
                }
                self.apart = Some(apart);
            }
            Action::Join => self.apart = None,
            Action::Tick(at) => {
                left.ticks -= 1;
                self.give(at, Input::Tick)?;
            }
            Action::SlowDisk(at) => {
                left.slow_disks -= 1;
                Arc::make_mut(&mut self.machines[at]).slow = true;
            }
            Action::Sync(at) => self.sync(at)?,
            Action::Crash(at) => {
                left.crashes -= 1;
                self.restart(at, false);
            }
            Action::LoseDisk(at) => {
                left.lost_disks -= 1;
                self.restart(at, true);
            }
            Action::Propose(at) => {
                left.proposals -= 1;
                let batch = vec![left.proposals, self.machines[at].node.id() as u8];
                self.give(at, Input::Propose(vec![batch]))?;
            }
            Action::HandOver(at) => {
                left.hand_overs -= 1;
                self.give(at, Input::TransferLeadership(Vec::new()))?;
            }
            Action::Compact(at) => {
                left.compactions -= 1;
                let index = self.machines[at].node.commit_index();
                self.give(at, Input::Compact { index, state: vec![index as u8] })?;
            }
            Action::Learner(at, other) => {
                left.learners -= 1;
                let joins = member(self.machines[other].node.id());
                self.give(at, Input::AddLearner(joins))?;
            }
            Action::Advance(step_ms) => {
                left.advances -= 1;
                self.now_ms += step_ms;
            }
        }
        self.check()
    }

    fn arrive(&mut self, flight: Arc<Flight>) -> Result<(), String> {
        if self.is_apart(&flight) {
            if self.apart.is_some_and(|apart| apart.frozen) {
                self.late.push(flight);
            }
            return Ok(());
        }
        let stands = |machine: &Arc<Machine>| machine.node.id() == flight.to.id;
        if let Some(at) = self.machines.iter().position(stands) {
            let input = Input::Receive { from: flight.from, message: flight.message.clone() };
            return self.give(at, input);
        }
        let before = |machine: &Arc<Machine>| machine.before == Some(flight.to.id);
        if let (true, Message::LeaderProbe { round, .. }) =
            (self.machines.iter().any(before), &flight.message)
        {
            let message = Message::LeaderProbeResponse { term: 0, round: *round, free: true };
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
                        ledger.votes(*term, id, to.id)?
                    }
                    Message::Vote(ask) => ledger.votes(ask.term, id, id)?,
                    _ => {}
                }
                self.send(Flight { from: member(id), to, message });
            }
            Effect::Write { sequence, write } => machine.unsynced.push_back((sequence, write)),
            Effect::Commit(entries) => ledger.commits(machine, &entries)?,
            Effect::Restore(kept) => ledger.restores(machine, &kept)?,
            Effect::Role(Role::Leader) => ledger.leads(&machine.node)?,
            Effect::Role(_) | Effect::LeadershipReceived { .. } => {}
        }
        Ok(())
    }

    fn send(&mut self, flight: Flight) {
        self.flights.push(Arc::new(flight));
    }

    /// The oldest write is on disk now, and the member hears of it.
    fn sync(&mut self, at: usize) -> Result<(), String> {
        let machine = Arc::make_mut(&mut self.machines[at]);
        let Some((sequence, write)) = machine.unsynced.pop_front() else { return Ok(()) };
        machine.disk.apply(write);
        let now_ms = self.now_ms;
        let effects = machine.node.handle(now_ms, Input::Synced(sequence));
        effects.into_iter().try_for_each(|effect| self.carry_out(at, effect))
    }

    /// The process starts again from what is synced, or from an empty disk under a new number.
    fn restart(&mut self, at: usize, lost: bool) {
        let now_ms = self.now_ms;
        let machine = Arc::make_mut(&mut self.machines[at]);
        machine.unsynced = VecDeque::new();
        machine.slow = false;
        machine.lives += 1;
        let mut id = machine.node.id();
        if lost {
            machine.before = Some(id);
            machine.disk = Disk::default();
            id += LOST_DISK_STEP;
        }
        machine.applied = machine.disk.snapshot.as_ref().map_or(0, |kept| kept.index);
        let recovered = machine.disk.recovered();
        machine.node = Consensus::new(id, recovered, seed(id, machine.lives), now_ms);
    }
}
