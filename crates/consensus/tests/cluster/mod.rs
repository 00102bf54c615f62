//! Three simulated members on one clock; tests set the speeds of their disks and links.
#![allow(dead_code)]

#[path = "../fixture/mod.rs"]
mod fixture;
mod machine_parts;
pub use fixture::member;
#[allow(unused_imports)]
pub use machine_parts::{Applied, FAST, SLOW, Speed};

use fixture::{VOTERS, recovered_voter};
use machine_parts::*;
use postbarrow_consensus::*;
use std::collections::{BTreeMap, VecDeque};

pub const MEMBERS: u64 = VOTERS;
const LINK_DELAY_US: u64 = 500;
const TICK_US: u64 = 20_000;

/// A function of the sender's id, the recipient's id and the message, which returns whether the
/// frame is lost.
pub type DropsFrame = Box<dyn FnMut(u64, u64, &Message) -> bool>;

enum Event {
    Deliver { from: u64, to: u64, message: Message },
    Synced { member_id: u64, incarnation: u64, sequence: u64, writes: Vec<Write> },
    Tick { member_id: u64, incarnation: u64 },
}

#[derive(Default)]
pub struct Machine {
    pub node: Option<Consensus>,
    pub applied: Applied,
    /// Highest index that the member applied in any incarnation.
    max_applied: u64,
    pub durable: RecoveredState,
    pub restores: u64,
    /// Newest term in which the member was ready to serve as leader.
    max_served_term: u64,
    /// Longest time in this incarnation between two contacts by a leader, in microseconds.
    pub max_contact_gap_us: u64,
    incarnation: u64,
    last_contact_us: u64,
    unsynced: VecDeque<(u64, Write)>,
    syncing: bool,
    /// Bytes appended to the log since the last snapshot.
    log_bytes: u64,
}

pub struct Cluster {
    pub now_us: u64,
    pub machines: BTreeMap<u64, Machine>,
    pub speeds: BTreeMap<u64, Speed>,
    /// Frames for which this returns true are lost.
    pub drops_frame: DropsFrame,
    /// Log bytes after which a member takes a snapshot.
    pub compact_bytes: u64,
    /// Smallest size of a snapshot's state, in bytes.
    pub state_bytes: usize,
    pub snapshot_bytes_sent: u64,
    /// Time at which the link from one member to another has sent all its frames, in microseconds.
    link_idle_us: BTreeMap<(u64, u64), u64>,
    /// Bytes of the frames that have not arrived, on the link from one member to another.
    queued_bytes: BTreeMap<(u64, u64), u64>,
    pub max_queued_bytes: BTreeMap<(u64, u64), u64>,
    /// Digest of the state at each committed index.
    digests: BTreeMap<u64, u64>,
    /// Number of batches proposed so far.
    proposed: u64,
    /// Pending events by time and number.
    queue: BTreeMap<(u64, u64), Event>,
    /// Number of the newest event, which orders events of the same time.
    event_number: u64,
}

impl Cluster {
    pub fn new(compact_bytes: u64, state_bytes: usize) -> Cluster {
        let machine = |id| (id, Machine { durable: recovered_voter(), ..Machine::default() });
        let mut cluster = Cluster {
            now_us: 1_000_000,
            machines: (1..=MEMBERS).map(machine).collect(),
            speeds: (1..=MEMBERS).map(|id| (id, FAST)).collect(),
            drops_frame: Box::new(|_, _, _| false),
            compact_bytes,
            state_bytes,
            snapshot_bytes_sent: 0,
            link_idle_us: BTreeMap::new(),
            queued_bytes: BTreeMap::new(),
            max_queued_bytes: BTreeMap::new(),
            digests: BTreeMap::new(),
            proposed: 0,
            queue: BTreeMap::new(),
            event_number: 0,
        };
        (1..=MEMBERS).for_each(|id| cluster.start(id));
        cluster.run_ms(3_000);
        assert!(cluster.leader().is_some(), "no leader was elected");
        cluster
    }

    pub fn node(&self, id: u64) -> &Consensus {
        self.machines[&id].node.as_ref().expect("the member runs")
    }

    /// Returns the leader that is ready, of the newest term if there are two.
    pub fn leader(&self) -> Option<u64> {
        let is_ready_leader =
            |machine: &Machine| machine.node.as_ref().is_some_and(Consensus::is_ready);
        let found = self.machines.iter().filter(|(_, machine)| is_ready_leader(machine));
        found.max_by_key(|(id, _)| self.node(**id).term()).map(|(id, _)| *id)
    }

    /// Returns a member that is not the leader.
    pub fn follower(&self) -> u64 {
        let leader = self.leader().expect("there is a leader");
        (1..=MEMBERS).rev().find(|id| *id != leader).expect("there are three members")
    }

    /// Starts a member from its durable state.
    pub fn start(&mut self, id: u64) {
        let now_ms = self.now_us / 1_000;
        let machine = self.machines.get_mut(&id).expect("the id is a member's");
        let durable = machine.durable.clone();
        machine.incarnation += 1;
        machine.syncing = false;
        machine.unsynced.clear();
        machine.last_contact_us = self.now_us;
        machine.max_contact_gap_us = 0;
        let state = durable.snapshot.as_ref().map_or(Vec::new(), |retained| retained.state.clone());
        machine.applied = Applied::decode(&state);
        machine.node = Some(Consensus::new(id, durable, id, now_ms));
        let incarnation = machine.incarnation;
        self.schedule(0, Event::Tick { member_id: id, incarnation });
    }

    /// Ends a member's process at once; its unsynced writes are lost.
    pub fn stop(&mut self, id: u64) {
        let machine = self.machines.get_mut(&id).expect("the id is a member's");
        machine.node = None;
        machine.incarnation += 1;
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.event_number += 1;
        self.queue.insert((self.now_us + delay_us, self.event_number), event);
    }

    pub fn run_ms(&mut self, for_ms: u64) {
        let end_us = self.now_us + for_ms * 1_000;
        while let Some(next) = self.queue.first_entry().filter(|next| next.key().0 <= end_us) {
            self.now_us = next.key().0;
            let event = next.remove();
            self.handle_event(event);
        }
        self.now_us = end_us;
    }

    /// Runs for `for_ms` and proposes `rate` batches of `batch_bytes` bytes per second, in steps of
    /// 10 ms.
    pub fn run_with_changes(&mut self, for_ms: u64, rate: u64, batch_bytes: usize) {
        for step in 0..for_ms / 10 {
            let due = (step + 1) * rate / 100 - step * rate / 100;
            (0..due).for_each(|_| self.propose(batch_bytes));
            self.run_ms(10);
        }
    }

    pub fn propose(&mut self, batch_bytes: usize) {
        let Some(leader) = self.leader() else { return };
        self.proposed += 1;
        let mut bytes = self.proposed.to_le_bytes().to_vec();
        bytes.resize(batch_bytes.max(8), 7);
        self.handle_input(leader, Input::Propose(vec![bytes]));
    }

    /// Checks that after 5 s all members have the same state.
    pub fn assert_all_converge(&mut self) {
        self.run_ms(5_000);
        let all: Vec<Applied> = self.machines.values().map(|machine| machine.applied).collect();
        assert!(
            all.iter().all(|applied| *applied == all[0]),
            "members have different states: {all:?}"
        );
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick { member_id, incarnation }
                if self.machines[&member_id].incarnation == incarnation =>
            {
                self.handle_input(member_id, Input::Tick);
                self.schedule(TICK_US, Event::Tick { member_id, incarnation });
            }
            Event::Synced { member_id, incarnation, sequence, writes }
                if self.machines[&member_id].incarnation == incarnation =>
            {
                let machine = self.machines.get_mut(&member_id).expect("the id is a member's");
                machine.syncing = false;
                writes.into_iter().for_each(|write| apply_write(&mut machine.durable, write));
                self.handle_input(member_id, Input::Synced(sequence));
                self.sync(member_id);
            }
            Event::Deliver { from, to, message } => {
                *self.queued_bytes.entry((from, to)).or_default() -= size_bytes(&message);
                self.record_contact(to, &message);
                self.handle_input(to, Input::Receive { from: member(from), message });
            }
            Event::Tick { .. } | Event::Synced { .. } => {}
        }
    }

    fn record_contact(&mut self, to: u64, message: &Message) {
        let machine = self.machines.get_mut(&to).expect("the id is a member's");
        if matches!(message, Message::Append(_) | Message::Snapshot(_)) {
            let contact_gap_us = self.now_us - machine.last_contact_us;
            machine.max_contact_gap_us = machine.max_contact_gap_us.max(contact_gap_us);
            machine.last_contact_us = self.now_us;
        }
    }

    pub fn handle_input(&mut self, to: u64, input: Input) {
        let now_ms = self.now_us / 1_000;
        let Some(node) = self.machines.get_mut(&to).and_then(|machine| machine.node.as_mut())
        else {
            return;
        };
        for effect in node.handle(now_ms, input) {
            match effect {
                Effect::Send { to: other, message } => self.transmit(to, other.id, message),
                Effect::Write { sequence, write } => {
                    let machine = self.machines.get_mut(&to).expect("the id is a member's");
                    if matches!(write, Write::Append(_)) {
                        machine.log_bytes += write_bytes(&write);
                    }
                    machine.unsynced.push_back((sequence, write));
                    self.sync(to);
                }
                Effect::Commit(entries) => self.commit(to, entries),
                Effect::Restore(snapshot) => {
                    let machine = self.machines.get_mut(&to).expect("the id is a member's");
                    machine.applied = Applied::decode(&snapshot.state);
                    machine.restores += 1;
                }
                Effect::Role(_) | Effect::LeadershipReceived { .. } => {}
            }
        }
        self.check_serving(to);
        self.compact(to);
    }

    /// Checks that a leader that becomes ready has applied every entry that any member ever
    /// applied.
    fn check_serving(&mut self, member_id: u64) {
        let newest = self.machines.values().map(|machine| machine.max_applied).max();
        let machine = self.machines.get_mut(&member_id).expect("the id is a member's");
        let Some(node) = machine.node.as_ref().filter(|node| node.is_ready()) else { return };
        if machine.max_served_term < node.term() {
            machine.max_served_term = node.term();
            assert!(
                Some(machine.applied.index) >= newest,
                "member {member_id} serves with outdated state"
            );
        }
    }

    fn commit(&mut self, member_id: u64, entries: Vec<Entry>) {
        let machine = self.machines.get_mut(&member_id).expect("the id is a member's");
        for entry in entries {
            assert_eq!(
                entry.index,
                machine.applied.index + 1,
                "member {member_id} skipped entries"
            );
            machine.applied.index = entry.index;
            machine.max_applied = machine.max_applied.max(entry.index);
            if let Payload::Batch(bytes) = &entry.payload {
                machine.applied.apply_batch(bytes);
            }
            let expected_digest = self.digests.entry(entry.index).or_insert(machine.applied.digest);
            assert_eq!(
                *expected_digest, machine.applied.digest,
                "member {member_id} has a different state"
            );
        }
    }

    fn compact(&mut self, member_id: u64) {
        let machine = self.machines.get_mut(&member_id).expect("the id is a member's");
        if machine.log_bytes >= self.compact_bytes {
            machine.log_bytes = 0;
            let index = machine.applied.index;
            let state = machine.applied.encode(member_id, self.state_bytes);
            self.handle_input(member_id, Input::Compact { index, state });
        }
    }

    fn sync(&mut self, member_id: u64) {
        let speed = self.speeds[&member_id];
        let machine = self.machines.get_mut(&member_id).expect("the id is a member's");
        let Some((sequence, _)) = machine.unsynced.back().filter(|_| !machine.syncing) else {
            return;
        };
        let sequence = *sequence;
        machine.syncing = true;
        let writes: Vec<Write> = machine.unsynced.drain(..).map(|(_, write)| write).collect();
        let bytes: u64 = writes.iter().map(write_bytes).sum();
        let incarnation = machine.incarnation;
        let duration_us = speed.sync_us + bytes * 1_000_000 / speed.disk;
        self.schedule(duration_us, Event::Synced { member_id, incarnation, sequence, writes });
    }

    fn transmit(&mut self, from: u64, to: u64, message: Message) {
        let bytes = size_bytes(&message);
        if let Message::Snapshot(chunk) = &message {
            self.snapshot_bytes_sent += chunk.bytes.len() as u64;
        }
        if (self.drops_frame)(from, to, &message) {
            return;
        }
        let link = self.speeds[&from].link.min(self.speeds[&to].link);
        let link_idle_us = self.link_idle_us.entry((from, to)).or_default();
        *link_idle_us = self.now_us.max(*link_idle_us) + bytes * 1_000_000 / link;
        let delay_us = *link_idle_us + LINK_DELAY_US - self.now_us;
        let queued = self.queued_bytes.entry((from, to)).or_default();
        *queued += bytes;
        let max_queued = self.max_queued_bytes.entry((from, to)).or_default();
        *max_queued = (*max_queued).max(*queued);
        self.schedule(delay_us, Event::Deliver { from, to, message });
    }
}
