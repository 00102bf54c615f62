//! One state of the searched system: members with their disks, messages in flight, the clock, the
//! remainder of each bound, and the history that the checks compare with.

use crate::ledger::Ledger;
use postbarrow_consensus::*;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hasher};
use std::sync::Arc;

pub fn member(id: MemberId) -> Member {
    Member {
        id,
        address: format!("10.0.0.{}:1", id % LOST_DISK_ID_OFFSET)
            .parse()
            .expect("the address is valid"),
    }
}

/// Added to the identity of a member that lost its disk, for its identity on the new disk.
pub const LOST_DISK_ID_OFFSET: MemberId = 10;
pub const START_MS: u64 = 100_000;

/// Number of events of each kind that may still occur on a path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bounds {
    pub crashes: u8,
    pub lost_disks: u8,
    pub duplicates: u8,
    /// Messages that arrive out of order: at any later time, or never.
    pub delays: u8,
    /// Times that a machine is partitioned; meanwhile messages from and to it are lost.
    pub partitions: u8,
    /// Times that a machine is paused; messages sent to it meanwhile may arrive afterwards.
    pub pauses: u8,
    pub proposals: u8,
    pub leadership_transfers: u8,
    pub compactions: u8,
    pub learners: u8,
    pub advances: u8,
    /// Times that a disk becomes slow; from then on each of its syncs ends late or never.
    pub slow_disks: u8,
    /// Ticks of members; the bound on them also bounds the probe rounds and elections.
    pub ticks: u8,
}

/// The content of a disk up to its last sync.
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

/// One machine: a member, its disk, and its unsynced writes.
#[derive(Clone)]
pub struct Machine {
    pub node: Consensus,
    pub disk: Disk,
    pub unsynced: VecDeque<(u64, Write)>,
    /// Whether writes stay unsynced until `Action::Sync`.
    pub slow: bool,
    /// Index of the last entry applied, by itself or in a snapshot.
    pub applied: u64,
    /// Identity of the former member whose disk was lost on this machine; `None` if none was lost.
    pub replaced_id: Option<MemberId>,
    pub incarnation: u64,
}

/// A message that was sent and may still arrive.
#[derive(Clone, Debug)]
pub struct SentMessage {
    pub from: Member,
    pub to: Member,
    pub message: Message,
}

/// A machine that no message reaches, since it is partitioned or paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Isolation {
    pub at: usize,
    /// Whether the machine is paused; it is partitioned otherwise.
    pub paused: bool,
}

/// One state of the searched system.
#[derive(Clone)]
pub struct World {
    pub now_ms: u64,
    pub machines: Vec<Arc<Machine>>,
    /// Messages that arrive in the order in which they were sent.
    pub in_flight: Vec<Arc<SentMessage>>,
    /// Messages that arrive out of order.
    pub out_of_order: Vec<Arc<SentMessage>>,
    pub isolation: Option<Isolation>,
    pub remaining: Bounds,
    pub ledger: Arc<Ledger>,
}

impl World {
    /// Returns three members that have bootstrapped a log and start now.
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
            out_of_order: Vec::new(),
            isolation: None,
            remaining,
            ledger: Arc::default(),
        }
    }

    /// Returns a hash of the state, by which the search recognises states that it has reached
    /// before.
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
        for sent_message in &self.in_flight {
            sent_message.fingerprint(time).hash(&mut hasher);
        }
        let mut out_of_order_sum = 0u64;
        for sent_message in &self.out_of_order {
            out_of_order_sum = out_of_order_sum.wrapping_add(sent_message.fingerprint(time));
        }
        (out_of_order_sum, self.isolation, self.remaining, &*self.ledger).hash(&mut hasher);
        hasher.finish()
    }
}

impl SentMessage {
    pub fn fingerprint(&self, time: FingerprintTime) -> u64 {
        use std::hash::Hash;
        let mut hasher = DefaultHasher::new();
        (self.from.id, self.to.id).hash(&mut hasher);
        self.message.fingerprint(time, &mut hasher);
        hasher.finish()
    }
}

/// Returns a different seed for each incarnation of each member; real processes draw theirs at
/// random.
pub fn seed(id: MemberId, incarnation: u64) -> u64 {
    0x9e37_79b9_7f4a_7c15u64.wrapping_mul(2 * (id + 100 * incarnation) + 1)
}
