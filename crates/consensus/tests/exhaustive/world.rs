//! One state of the searched system: members with their disks, messages in flight, the clock, the
//! remainder of each bound, and the history that the checks compare with.

use crate::ledger::Ledger;
use postbarrow_consensus::*;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hasher};
use std::sync::Arc;

pub fn member(id: MemberId) -> Member {
    Member { id, address: format!("10.0.0.{}:1", id % LOST_DISK_STEP).parse().expect("an address") }
}

/// A disk that replaces a lost one has the old identity plus this.
pub const LOST_DISK_STEP: MemberId = 10;
pub const START_MS: u64 = 100_000;

/// How often each kind of event may still happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bounds {
    pub crashes: u8,
    pub lost_disks: u8,
    pub duplicates: u8,
    /// Messages that arrive out of order: at any later time, or never.
    pub delays: u8,
    /// Times that a machine is partitioned, so that messages from and to it are lost meanwhile.
    pub partitions: u8,
    /// Times that a machine is paused; messages to it meanwhile may arrive afterwards.
    pub pauses: u8,
    pub proposals: u8,
    pub leadership_transfers: u8,
    pub compactions: u8,
    pub learners: u8,
    pub advances: u8,
    /// Times that a disk becomes slow: from then on each of its syncs comes late, or never.
    pub slow_disks: u8,
    /// Ticks of members, so that probe rounds and elections don't continue for ever.
    pub ticks: u8,
}

/// What a disk has stored up to its last sync.
#[derive(Clone, Default, Hash)]
pub struct Disk {
    pub hard: HardState,
    pub snapshot: Option<Arc<Snapshot>>,
    pub entries: Vec<Entry>,
}

impl Disk {
    pub fn apply(&mut self, write: Write) {
        match write {
            Write::HardState(hard) => self.hard = hard,
            Write::Append(entries) => self.entries.extend(entries),
            Write::Truncate { from } => self.entries.retain(|entry| entry.index < from),
            Write::Slot { snapshot, hard, entries } => {
                *self = Disk { hard, snapshot: Some(snapshot), entries }
            }
        }
    }

    pub fn recovered(&self) -> RecoveredState {
        RecoveredState {
            term: self.hard.term,
            voted_for: self.hard.voted_for,
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }

    pub fn contains(&self, index: u64, term: u64) -> bool {
        let covered = self.snapshot.as_ref().is_some_and(|snapshot| snapshot.index >= index);
        covered || self.entries.iter().any(|one| (one.index, one.term) == (index, term))
    }
}

/// One machine: a member, its disk, and writes that no sync has covered.
#[derive(Clone)]
pub struct Machine {
    pub node: Consensus,
    pub disk: Disk,
    pub unsynced: VecDeque<(u64, Write)>,
    pub slow: bool,
    pub applied: u64,
    /// Identity of the member that lost its disk on this machine.
    pub replaced_id: Option<MemberId>,
    pub incarnation: u64,
}

#[derive(Clone, Debug)]
pub struct Flight {
    pub from: Member,
    pub to: Member,
    pub message: Message,
}

/// A machine that no message reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Isolation {
    pub at: usize,
    pub paused: bool,
}

#[derive(Clone)]
pub struct World {
    pub now_ms: u64,
    pub machines: Vec<Arc<Machine>>,
    /// In the order they were sent.
    pub in_flight: Vec<Arc<Flight>>,
    /// Messages that arrive out of order.
    pub out_of_turn: Vec<Arc<Flight>>,
    pub isolation: Option<Isolation>,
    pub remaining: Bounds,
    pub ledger: Arc<Ledger>,
}

impl World {
    /// Three members that have bootstrapped a log and start now.
    pub fn started(remaining: Bounds) -> World {
        let members = (1..=3).map(member).collect();
        let snapshot = Arc::new(Snapshot { index: 0, term: 0, members, state: Vec::new() });
        let disk = Disk { snapshot: Some(snapshot), ..Disk::default() };
        let machine = |id: MemberId| {
            Arc::new(Machine {
                node: Consensus::new(id, disk.recovered(), seed(id, 0), START_MS),
                disk: disk.clone(),
                unsynced: VecDeque::new(),
                slow: false,
                applied: 0,
                replaced_id: None,
                incarnation: 0,
            })
        };
        World {
            now_ms: START_MS,
            machines: (1..=3).map(machine).collect(),
            in_flight: Vec::new(),
            out_of_turn: Vec::new(),
            isolation: None,
            remaining,
            ledger: Arc::default(),
        }
    }

    pub fn fingerprint(&self, horizon_ms: u64) -> u64 {
        use std::hash::Hash;
        let time = FingerprintTime { now_ms: self.now_ms, horizon_ms };
        let mut hasher = DefaultHasher::new();
        for machine in &self.machines {
            machine.node.fingerprint(time, &mut hasher);
            machine.disk.hash(&mut hasher);
            (machine.slow, machine.applied, machine.replaced_id, machine.incarnation)
                .hash(&mut hasher);
            machine.unsynced.iter().for_each(|(_, write)| write.hash(&mut hasher));
        }
        for flight in &self.in_flight {
            flight.fingerprint(time).hash(&mut hasher);
        }
        let mut late = 0u64;
        for flight in &self.out_of_turn {
            late = late.wrapping_add(flight.fingerprint(time));
        }
        (late, self.isolation, self.remaining, &*self.ledger).hash(&mut hasher);
        hasher.finish()
    }
}

impl Flight {
    pub fn fingerprint(&self, time: FingerprintTime) -> u64 {
        use std::hash::Hash;
        let mut hasher = DefaultHasher::new();
        (self.from.id, self.to.id).hash(&mut hasher);
        self.message.fingerprint(time, &mut hasher);
        hasher.finish()
    }
}

/// Each incarnation of each member has a seed of its own, as processes draw theirs at random.
pub fn seed(id: MemberId, incarnation: u64) -> u64 {
    0x9e37_79b9_7f4a_7c15u64.wrapping_mul(2 * (id + 100 * incarnation) + 1)
}
