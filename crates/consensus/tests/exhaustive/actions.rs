//! Every event that may come next at a state, and the state it leads to.

use crate::world::*;
use postbarrow_consensus::*;
use std::collections::VecDeque;
use std::sync::Arc;

#[derive(Clone, Debug)]
pub enum Action {
    Deliver(usize),
    Duplicate(usize),
    Pulse(usize),
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

/// What a model lets happen beside the bounds of its world.
#[derive(Clone)]
pub struct Rules {
    /// The clock goes on by one of these.
    pub steps_ms: Vec<u64>,
    /// Messages of one link arrive in the order they were sent.
    pub ordered: bool,
    /// Messages one link keeps; the oldest is lost beyond that.
    pub link: usize,
    /// Each write is synced at once; otherwise syncs are events of their own.
    pub sync_at_once: bool,
    pub horizon_ms: u64,
}

impl World {
    pub fn actions(&self, rules: &Rules) -> Vec<Action> {
        let mut out = Vec::new();
        for at in 0..self.flights.len() {
            if rules.ordered
                && self.flights[..at].iter().any(|one| same_link(one, &self.flights[at]))
            {
                continue;
            }
            out.push(Action::Deliver(at));
            if self.left.duplicates > 0 {
                out.push(Action::Duplicate(at));
            }
        }
        for at in 0..self.machines.len() {
            self.machine_actions(at, &mut out);
        }
        if self.left.advances > 0 {
            out.extend(rules.steps_ms.iter().map(|step_ms| Action::Advance(*step_ms)));
        }
        out
    }

    fn machine_actions(&self, at: usize, out: &mut Vec<Action>) {
        let (machine, left) = (&self.machines[at], &self.left);
        let leads = machine.node.role() == Role::Leader;
        let mut may = |allowed: bool, action: Action| {
            if allowed {
                out.push(action);
            }
        };
        may(left.pulses > 0, Action::Pulse(at));
        may(!machine.unsynced.is_empty(), Action::Sync(at));
        may(left.crashes > 0, Action::Crash(at));
        may(left.lost_disks > 0, Action::LoseDisk(at));
        may(left.proposals > 0 && leads, Action::Propose(at));
        may(left.hand_overs > 0 && leads, Action::HandOver(at));
        let fresh = machine.disk.snapshot.as_ref().map_or(0, |kept| kept.index);
        may(left.compactions > 0 && machine.node.commit() > fresh, Action::Compact(at));
        for (other, stranger) in self.machines.iter().enumerate() {
            let joins = stranger.before.is_some() && leads && left.learners > 0;
            may(joins, Action::Learner(at, other));
        }
    }

    pub fn after(&self, action: &Action, rules: &Rules) -> Result<World, String> {
        let mut next = self.clone();
        next.perform(action, rules)?;
        Ok(next)
    }

    pub fn perform(&mut self, action: &Action, rules: &Rules) -> Result<(), String> {
        let left = &mut self.left;
        match *action {
            Action::Deliver(at) => {
                let flight = self.flights.remove(at);
                self.arrive(&flight, rules)?;
            }
            Action::Duplicate(at) => {
                left.duplicates -= 1;
                self.arrive(&self.flights[at].clone(), rules)?;
            }
            Action::Pulse(at) => {
                left.pulses -= 1;
                self.give(at, Input::Pulse, rules)?;
            }
            Action::Sync(at) => self.sync(at, rules)?,
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
                self.give(at, Input::Propose(vec![batch]), rules)?;
            }
            Action::HandOver(at) => {
                left.hand_overs -= 1;
                self.give(at, Input::HandOver(Vec::new()), rules)?;
            }
            Action::Compact(at) => {
                left.compactions -= 1;
                let index = self.machines[at].node.commit();
                self.give(at, Input::Compact { index, state: vec![index as u8] }, rules)?;
            }
            Action::Learner(at, other) => {
                left.learners -= 1;
                let joins = member(self.machines[other].node.id());
                self.give(at, Input::Learner(joins), rules)?;
            }
            Action::Advance(step_ms) => {
                left.advances -= 1;
                self.now_ms += step_ms;
            }
        }
        self.check()
    }

    fn arrive(&mut self, flight: &Flight, rules: &Rules) -> Result<(), String> {
        let stands = |machine: &Arc<Machine>| machine.node.id() == flight.to.id;
        if let Some(at) = self.machines.iter().position(stands) {
            let input = Input::Receive { from: flight.from, message: flight.message.clone() };
            return self.give(at, input, rules);
        }
        let before = |machine: &Arc<Machine>| machine.before == Some(flight.to.id);
        if let (true, Message::Who { round, .. }) =
            (self.machines.iter().any(before), &flight.message)
        {
            let message = Message::WhoResponse { term: 0, round: *round, free: true };
            self.send(Flight { from: flight.to, to: flight.from, message }, rules);
        }
        Ok(())
    }

    fn give(&mut self, at: usize, input: Input, rules: &Rules) -> Result<(), String> {
        let now_ms = self.now_ms;
        let effects = Arc::make_mut(&mut self.machines[at]).node.handle(now_ms, input);
        for effect in effects {
            self.carry_out(at, effect, rules)?;
        }
        if rules.sync_at_once {
            while !self.machines[at].unsynced.is_empty() {
                self.sync(at, rules)?;
            }
        }
        Ok(())
    }

    fn carry_out(&mut self, at: usize, effect: Effect, rules: &Rules) -> Result<(), String> {
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
                self.send(Flight { from: member(id), to, message }, rules);
            }
            Effect::Write { sequence, write } => machine.unsynced.push_back((sequence, write)),
            Effect::Commit(entries) => ledger.commits(machine, &entries)?,
            Effect::Restore(kept) => ledger.restores(machine, &kept)?,
            Effect::Role(Role::Leader) => ledger.leads(&machine.node)?,
            Effect::Role(_) | Effect::Handed { .. } => {}
        }
        Ok(())
    }

    fn send(&mut self, flight: Flight, rules: &Rules) {
        let on_link: Vec<usize> =
            (0..self.flights.len()).filter(|at| same_link(&self.flights[*at], &flight)).collect();
        if on_link.len() >= rules.link {
            self.flights.remove(on_link[0]);
        }
        self.flights.push(Arc::new(flight));
    }

    /// The oldest write is on disk now, and the member hears of it.
    fn sync(&mut self, at: usize, rules: &Rules) -> Result<(), String> {
        let machine = Arc::make_mut(&mut self.machines[at]);
        let Some((sequence, write)) = machine.unsynced.pop_front() else { return Ok(()) };
        machine.disk.apply(write);
        let now_ms = self.now_ms;
        let effects = machine.node.handle(now_ms, Input::Synced(sequence));
        effects.into_iter().try_for_each(|effect| self.carry_out(at, effect, rules))
    }

    /// The process starts again from what is synced, or from an empty disk under a new number.
    fn restart(&mut self, at: usize, lost: bool) {
        let now_ms = self.now_ms;
        let machine = Arc::make_mut(&mut self.machines[at]);
        machine.unsynced = VecDeque::new();
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

fn same_link(one: &Flight, other: &Flight) -> bool {
    (one.from.id, one.to.id) == (other.from.id, other.to.id)
}
