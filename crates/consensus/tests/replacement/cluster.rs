//! Members of a log in simulated time: frames take a millisecond, a sync takes five.

use crate::disk::{decode, encode, number, store};
use postbarrow_consensus::*;
use postbarrow_constants::consensus::{
    DISCOVERY_MS, ELECTION_MIN_MS, LEADERSHIP_TRANSFER_MS, TICK_MS,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const FRAME_MS: u64 = 1;
const SYNC_MS: u64 = 5;
const SLOW_SYNC_MS: u64 = 60;
/// Interval of the changes, unless a test sets another.
const CHANGE_MS: u64 = 10;
/// Changes in the log before the first fault.
const CHANGES: u64 = 300;

pub struct Machine {
    pub node: Option<Consensus>,
    pub disk: RecoveredState,
    pub writes: VecDeque<(u64, Write)>,
    pub synced_at_ms: Option<u64>,
    /// Numbers of the changes committed here.
    pub applied: BTreeSet<u64>,
    pub stop_deadline_ms: Option<u64>,
    /// The newest entry that it ever acknowledged.
    pub acknowledged: u64,
    /// When it last knew a leader.
    pub last_known_leader_ms: u64,
}

pub struct Cluster {
    pub now_ms: u64,
    pub machines: BTreeMap<MemberId, Machine>,
    frames: BTreeMap<(u64, u64), (MemberId, Input)>,
    order: u64,
    next_change: u64,
    /// A change is proposed at this interval.
    pub change_ms: u64,
    pub acknowledged: BTreeSet<u64>,
    /// Its syncs take longer than the others'.
    pub slow: Option<MemberId>,
    losses: usize,
    voter_dead_ms: u64,
    partition: BTreeSet<MemberId>,
}

pub fn member(id: MemberId) -> Member {
    Member { id, address: format!("10.0.0.{id}:1").parse().unwrap() }
}

impl Cluster {
    /// Voters one to `voters`, with a state, committed changes and a steady load.
    pub fn running(voters: u64, voter_dead_ms: u64) -> Cluster {
        let mut cluster = Cluster {
            now_ms: 1_000,
            machines: BTreeMap::new(),
            frames: BTreeMap::new(),
            order: 0,
            next_change: 0,
            change_ms: CHANGE_MS,
            acknowledged: BTreeSet::new(),
            slow: None,
            losses: voters as usize / 2,
            voter_dead_ms,
            partition: BTreeSet::new(),
        };
        let members: Vec<Member> = (1..=voters).map(member).collect();
        for id in 1..=voters {
            cluster.start(id);
            cluster.give(id, Input::Bootstrap(members.clone()));
        }
        cluster.run_ms(2_000 + CHANGES * CHANGE_MS);
        for id in 1..=voters {
            let machine = &cluster.machines[&id];
            let index = machine.node.as_ref().unwrap().commit_index();
            let state = encode(&machine.applied);
            cluster.give(id, Input::Compact { index, state });
        }
        cluster.run_ms(500);
        assert!(cluster.acknowledged.len() as u64 >= CHANGES, "{}", cluster.acknowledged.len());
        cluster
    }

    /// Starts a process, on its former disk if it had one.
    pub fn start(&mut self, id: MemberId) {
        let disk = self.machines.remove(&id).map_or_else(RecoveredState::default, |old| old.disk);
        let mut node = Consensus::new(id, disk.clone(), id * 7_919, self.now_ms);
        node.set_losses(self.losses);
        node.set_voter_dead_ms(self.voter_dead_ms);
        let applied = disk.snapshot.as_ref().map_or_else(BTreeSet::new, |one| decode(&one.state));
        let machine = Machine {
            node: Some(node),
            disk,
            writes: VecDeque::new(),
            synced_at_ms: None,
            applied,
            stop_deadline_ms: None,
            acknowledged: 0,
            last_known_leader_ms: self.now_ms,
        };
        self.machines.insert(id, machine);
    }

    /// The process ends at once; what was not synced is lost.
    pub fn kill(&mut self, id: MemberId) {
        let machine = self.machines.get_mut(&id).unwrap();
        machine.node = None;
        machine.writes.clear();
        machine.synced_at_ms = None;
    }

    /// Begins a planned stop as the control process does.
    pub fn stop(&mut self, id: MemberId) {
        self.machines.get_mut(&id).unwrap().stop_deadline_ms =
            Some(self.now_ms + LEADERSHIP_TRANSFER_MS);
        self.give(id, Input::Depart);
    }

    /// Loses every frame from and to this member.
    pub fn partition(&mut self, id: MemberId) {
        self.partition.insert(id);
    }

    pub fn heal(&mut self) {
        self.partition.clear();
    }

    pub fn is_running(&self, id: MemberId) -> bool {
        self.machines[&id].node.is_some()
    }

    pub fn run_ms(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.tick();
        }
    }

    /// Milliseconds until the condition is met.
    pub fn run_until(&mut self, max_ms: u64, condition: impl Fn(&Cluster) -> bool) -> Option<u64> {
        let from_ms = self.now_ms;
        while !condition(self) {
            if self.now_ms >= from_ms + max_ms {
                return None;
            }
            self.tick();
        }
        Some(self.now_ms - from_ms)
    }

    fn tick(&mut self) {
        self.now_ms += 1;
        while let Some(due) = self.frames.first_entry().filter(|one| one.key().0 <= self.now_ms) {
            let (to, input) = due.remove();
            self.give(to, input);
        }
        let ids: Vec<MemberId> = self.machines.keys().copied().collect();
        for id in &ids {
            self.sync(*id);
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.give(*id, Input::Tick);
                self.stop_tick(*id);
            }
            if self.now_ms.is_multiple_of(DISCOVERY_MS) {
                self.send_discovery(*id);
            }
        }
        if self.now_ms.is_multiple_of(self.change_ms)
            && let Some(leader) = self.leader()
        {
            self.next_change += 1;
            self.give(leader, Input::Propose(vec![self.next_change.to_le_bytes().to_vec()]));
        }
    }

    fn stop_tick(&mut self, id: MemberId) {
        let machine = &self.machines[&id];
        let (Some(node), Some(until_ms)) = (&machine.node, machine.stop_deadline_ms) else {
            return;
        };
        let has_successor = node.leader().is_some_and(|leader| leader.id != id);
        if self.now_ms >= until_ms || (has_successor && node.has_departed()) {
            return self.kill(id);
        }
        if node.is_ready() && node.commit_index() == node.last_index() {
            self.give(id, Input::TransferLeadership(Vec::new()));
        }
    }

    /// As the controller does: a process that is no member, or knows no leader for long, announces itself.
    fn send_discovery(&mut self, id: MemberId) {
        let now_ms = self.now_ms;
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(node) = &machine.node else { return };
        if node.leader().is_some() {
            machine.last_known_leader_ms = now_ms;
        }
        let is_outside = !node.members().iter().any(|one| one.id == id);
        let voters_to_lose = now_ms > machine.last_known_leader_ms + 3 * ELECTION_MIN_MS;
        if (is_outside || voters_to_lose) && machine.stop_deadline_ms.is_none() {
            let ids: Vec<MemberId> = self.machines.keys().copied().collect();
            ids.into_iter().for_each(|to| self.frame(id, to, Input::AddLearner(member(id))));
        }
    }

    fn sync(&mut self, id: MemberId) {
        let now_ms = self.now_ms;
        let Some(machine) = self.machines.get_mut(&id) else { return };
        if machine.synced_at_ms.is_none_or(|at_ms| at_ms > now_ms) {
            return;
        }
        machine.synced_at_ms = None;
        let mut last = 0;
        for (sequence, write) in std::mem::take(&mut machine.writes) {
            store(&mut machine.disk, write);
            last = sequence;
        }
        self.give(id, Input::Synced(last));
    }

    fn frame(&mut self, from: MemberId, to: MemberId, input: Input) {
        if self.partition.contains(&from) || self.partition.contains(&to) {
            return;
        }
        self.order += 1;
        self.frames.insert((self.now_ms + FRAME_MS, self.order), (to, input));
    }

    fn give(&mut self, id: MemberId, input: Input) {
        let now_ms = self.now_ms;
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(node) = &mut machine.node else { return };
        let effects = node.handle(now_ms, input);
        let is_leader = node.is_ready();
        for effect in effects {
            let machine = self.machines.get_mut(&id).unwrap();
            match effect {
                Effect::Send { to, message } => {
                    if let Message::AppendResponse(response) = &message {
                        let matched = response.matched.unwrap_or(0);
                        machine.acknowledged = machine.acknowledged.max(matched);
                    }
                    self.frame(id, to.id, Input::Receive { from: member(id), message });
                }
                Effect::Write { sequence, write } => {
                    machine.writes.push_back((sequence, write));
                    let slow = self.slow == Some(id);
                    let sync_ms = if slow { SLOW_SYNC_MS } else { SYNC_MS };
                    machine.synced_at_ms.get_or_insert(now_ms + sync_ms);
                }
                Effect::Commit(entries) => {
                    let numbers = entries.iter().filter_map(number);
                    machine.applied.extend(numbers.clone());
                    if is_leader {
                        self.acknowledged.extend(numbers);
                    }
                }
                Effect::Restore(snapshot) => machine.applied = decode(&snapshot.state),
                Effect::Role(_) | Effect::LeadershipReceived { .. } => {}
            }
        }
    }
}
