//! Members of a log in simulated time: a frame takes 1 ms, and a sync takes 5 ms.

use crate::disk::{apply_write, change_number, decode, encode};
pub use crate::fixture::member;
use postbarrow_consensus::*;
use postbarrow_constants::consensus::{
    DISCOVERY_MS, ELECTION_MIN_MS, LEADERSHIP_TRANSFER_MS, TICK_MS,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const FRAME_MS: u64 = 1;
const SYNC_MS: u64 = 5;
const SLOW_SYNC_MS: u64 = 60;
/// Interval at which changes are proposed, in milliseconds, unless a test sets another.
const CHANGE_MS: u64 = 10;
/// Smallest number of changes committed before the first fault.
const CHANGES: u64 = 300;

pub struct Machine {
    pub node: Option<Consensus>,
    pub disk: RecoveredState,
    /// Unsynced writes with their sequence numbers.
    pub writes: VecDeque<(u64, Write)>,
    /// Time at which the sync in progress ends; `None` without one.
    pub synced_at_ms: Option<u64>,
    /// Numbers of the changes that this member has applied.
    pub applied: BTreeSet<u64>,
    /// Time at which a planned stop ends the process at the latest; `None` without a planned stop.
    pub stop_deadline_ms: Option<u64>,
    /// Index of the newest entry that this process acknowledged.
    pub acknowledged: u64,
    /// Time at which the member last knew a leader, in milliseconds.
    pub last_known_leader_ms: u64,
}

pub struct Cluster {
    pub now_ms: u64,
    pub machines: BTreeMap<MemberId, Machine>,
    /// Frames in flight, each with its recipient, by time of arrival and number.
    frames: BTreeMap<(u64, u64), (MemberId, Input)>,
    /// Number of the newest frame, which orders frames that arrive at the same time.
    frame_number: u64,
    next_change: u64,
    /// Interval at which changes are proposed, in milliseconds.
    pub change_ms: u64,
    /// Numbers of the changes that a leader has committed.
    pub acknowledged: BTreeSet<u64>,
    /// The member whose syncs take `SLOW_SYNC_MS`, if any.
    pub slow_member: Option<MemberId>,
    losses: usize,
    voter_dead_ms: u64,
    /// Members from and to which every frame is lost.
    partitioned: BTreeSet<MemberId>,
}

impl Cluster {
    /// Starts voters 1 to `voters` under a steady load, and returns them with committed changes and
    /// a snapshot each.
    pub fn running(voters: u64, voter_dead_ms: u64) -> Cluster {
        let mut cluster = Cluster {
            now_ms: 1_000,
            machines: BTreeMap::new(),
            frames: BTreeMap::new(),
            frame_number: 0,
            next_change: 0,
            change_ms: CHANGE_MS,
            acknowledged: BTreeSet::new(),
            slow_member: None,
            losses: voters as usize / 2,
            voter_dead_ms,
            partitioned: BTreeSet::new(),
        };
        let members: Vec<Member> = (1..=voters).map(member).collect();
        for id in 1..=voters {
            cluster.start(id);
            cluster.handle_input(id, Input::Bootstrap(members.clone()));
        }
        cluster.run_ms(2_000 + CHANGES * CHANGE_MS);
        for id in 1..=voters {
            let machine = &cluster.machines[&id];
            let index = machine.node.as_ref().unwrap().commit_index();
            let state = encode(&machine.applied);
            cluster.handle_input(id, Input::Compact { index, state });
        }
        cluster.run_ms(500);
        assert!(
            cluster.acknowledged.len() as u64 >= CHANGES,
            "only {} changes were acknowledged",
            cluster.acknowledged.len()
        );
        cluster
    }

    /// Starts a member's process, on the member's former disk if it had one.
    pub fn start(&mut self, id: MemberId) {
        let disk = self.machines.remove(&id).map_or_else(RecoveredState::default, |old| old.disk);
        let mut node = Consensus::new(id, disk.clone(), id * 7_919, self.now_ms);
        node.set_tolerated_losses(self.losses);
        node.set_voter_dead_ms(self.voter_dead_ms);
        let applied =
            disk.snapshot.as_ref().map_or_else(BTreeSet::new, |snapshot| decode(&snapshot.state));
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

    /// Ends a member's process at once; its unsynced writes are lost.
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
        self.handle_input(id, Input::Depart);
    }

    /// Loses every frame from and to this member.
    pub fn partition(&mut self, id: MemberId) {
        self.partitioned.insert(id);
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitioned.clear();
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

    /// Runs until the condition is met, and returns the milliseconds that this took; `None` after
    /// `max_ms`.
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
        while let Some(due) = self.frames.first_entry().filter(|frame| frame.key().0 <= self.now_ms)
        {
            let (to, input) = due.remove();
            self.handle_input(to, input);
        }
        let ids: Vec<MemberId> = self.machines.keys().copied().collect();
        for id in &ids {
            self.sync(*id);
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.handle_input(*id, Input::Tick);
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
            self.handle_input(
                leader,
                Input::Propose(vec![self.next_change.to_le_bytes().to_vec()]),
            );
        }
    }

    /// Continues a planned stop: ends the process once another leader is known and the member has
    /// departed, or at the deadline; a leader transfers its leadership first.
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
            self.handle_input(id, Input::TransferLeadership(Vec::new()));
        }
    }

    /// Announces a process as the controller does: if it is not a member, or has known no leader
    /// for three times the shortest election timeout.
    fn send_discovery(&mut self, id: MemberId) {
        let now_ms = self.now_ms;
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let Some(node) = &machine.node else { return };
        if node.leader().is_some() {
            machine.last_known_leader_ms = now_ms;
        }
        let is_nonmember = !node.members().iter().any(|voter| voter.id == id);
        let lacks_leader = now_ms > machine.last_known_leader_ms + 3 * ELECTION_MIN_MS;
        if (is_nonmember || lacks_leader) && machine.stop_deadline_ms.is_none() {
            let ids: Vec<MemberId> = self.machines.keys().copied().collect();
            ids.into_iter().for_each(|to| self.send_frame(id, to, Input::AddLearner(member(id))));
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
            apply_write(&mut machine.disk, write);
            last = sequence;
        }
        self.handle_input(id, Input::Synced(last));
    }

    fn send_frame(&mut self, from: MemberId, to: MemberId, input: Input) {
        if self.partitioned.contains(&from) || self.partitioned.contains(&to) {
            return;
        }
        self.frame_number += 1;
        self.frames.insert((self.now_ms + FRAME_MS, self.frame_number), (to, input));
    }

    fn handle_input(&mut self, id: MemberId, input: Input) {
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
                        let matched = response.match_index.unwrap_or(0);
                        machine.acknowledged = machine.acknowledged.max(matched);
                    }
                    self.send_frame(id, to.id, Input::Receive { from: member(id), message });
                }
                Effect::Write { sequence, write } => {
                    machine.writes.push_back((sequence, write));
                    let is_slow = self.slow_member == Some(id);
                    let sync_ms = if is_slow { SLOW_SYNC_MS } else { SYNC_MS };
                    machine.synced_at_ms.get_or_insert(now_ms + sync_ms);
                }
                Effect::Commit(entries) => {
                    let numbers = entries.iter().filter_map(change_number);
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
