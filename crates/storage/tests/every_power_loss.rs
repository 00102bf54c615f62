//! Power is lost at every operation of a script, with every choice of the unsynced names and
//! writes that survive, each independently.

use postbarrow_consensus::{Entry, HardState, Member, Payload, RecoveredState, Snapshot, Write};
use postbarrow_simulation::SimDisk;
use postbarrow_storage::{Disk, LOGS, Opened, Reservation, SLOTS, Storage, open};
use std::sync::Arc;

const MEMBER: u64 = 9;
const NEXT_MEMBER: u64 = 10;

fn hard(term: u64) -> Write {
    Write::HardState(HardState { term, voted_for: Some(term) })
}

/// Entries differ in size, so that records of two attempts seldom end at the same offset.
fn append(term: u64, index: u64) -> Write {
    let payload = Payload::Batch(vec![index as u8; 10 + 7 * index as usize]);
    Write::Append(vec![Entry { term, index, payload }])
}

fn slot(term: u64, index: u64) -> Write {
    let members = vec![Member { id: MEMBER, address: "10.0.0.1:1".parse().unwrap() }];
    let state = vec![index as u8; 120 - 10 * index as usize];
    let snapshot = Arc::new(Snapshot { index, term, members, state });
    Write::Slot { snapshot, hard: HardState { term, voted_for: Some(term) }, entries: Vec::new() }
}

/// Groups of writes, each acknowledged once its sync has returned. Two generations overwrite each
/// file, the later ones shorter.
fn script() -> Vec<Vec<Write>> {
    vec![
        vec![hard(1)],
        vec![append(1, 1), append(1, 2)],
        vec![hard(2), append(2, 3)],
        vec![slot(2, 3)],
        vec![append(2, 4), append(2, 5), hard(3)],
        vec![append(3, 6), slot(3, 6)],
        vec![hard(4)],
        vec![slot(4, 6), append(4, 7)],
        vec![hard(5)],
    ]
}

/// What a member may not fall behind: its term, its vote in it, and its last entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Acknowledged {
    term: u64,
    voted: Option<u64>,
    last: u64,
}

const NONE: Acknowledged = Acknowledged { term: 0, voted: None, last: 0 };

impl Acknowledged {
    fn after(mut self, write: &Write) -> Acknowledged {
        match write {
            Write::HardState(hard) | Write::Slot { hard, .. } => {
                (self.term, self.voted) = (hard.term, hard.voted_for);
            }
            Write::Append(entries) => self.last = entries.last().unwrap().index,
            Write::Truncate { .. } => unreachable!("the script truncates nothing"),
        }
        self
    }

    fn covers(&self, other: &Acknowledged) -> bool {
        let votes = self.term > other.term || (self.term, self.voted) == (other.term, other.voted);
        votes && self.last >= other.last
    }

    fn of(recovered: &RecoveredState) -> Acknowledged {
        let snapshot_index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let last = recovered.entries.last().map_or(snapshot_index, |entry| entry.index);
        Acknowledged { term: recovered.term, voted: recovered.voted_for, last }
    }
}

/// Runs the script on a disk that loses power after so many operations.
fn run(disk: &SimDisk, fuse: u64) -> Run {
    disk.set_fuse(fuse);
    let mut run = Run { created: false, acknowledged: NONE, requested: NONE, complete: false };
    let Ok(mut storage) = Storage::create(disk.clone(), MEMBER) else { return run };
    run.created = true;
    for group in script() {
        run.requested = group.iter().fold(run.acknowledged, Acknowledged::after);
        if storage.apply(group).is_err() {
            return run;
        }
        run.acknowledged = run.requested;
    }
    run.complete = true;
    run
}

struct Run {
    created: bool,
    acknowledged: Acknowledged,
    requested: Acknowledged,
    /// The script ended before the power was lost.
    complete: bool,
}

/// Every choice of what survives a loss of power, each as a disk of its own.
fn choices(disk: &SimDisk) -> impl Iterator<Item = (u64, SimDisk)> {
    let unsynced = disk.unsynced();
    assert!(
        unsynced <= 12,
        "{unsynced} unsynced writes and names are too many to test all choices"
    );
    let disk = disk.clone();
    (0..1u64 << unsynced).map(move |choice| {
        let survivor = disk.copy();
        survivor.lose_power_keeping(|at| choice >> at & 1 == 1);
        (choice, survivor)
    })
}

fn start(disk: &SimDisk, context: &str) -> (Storage<SimDisk>, Acknowledged) {
    match open(disk.clone()).unwrap() {
        Opened::Recovered { storage, recovered } => {
            assert_eq!(storage.id(), MEMBER, "{context}");
            let indexes: Vec<u64> = recovered.entries.iter().map(|entry| entry.index).collect();
            let first = indexes.first().copied().unwrap_or(1);
            let in_order = (first..).take(indexes.len()).collect::<Vec<_>>();
            assert_eq!(indexes, in_order, "{context}: entries are missing or doubled");
            (storage, Acknowledged::of(&recovered))
        }
        Opened::Empty(_) => panic!("{context}: opened as empty"),
        Opened::Damaged { damage, .. } => panic!("{context}: {damage}"),
    }
}

/// A start votes; whatever survives the next loss of power, the start after it recovers the vote.
fn vote_and_lose_power(disk: &SimDisk, context: &str) {
    let (mut storage, found) = start(disk, context);
    let vote = Acknowledged { term: found.term + 1, voted: Some(77), last: found.last };
    storage
        .apply(vec![Write::HardState(HardState { term: vote.term, voted_for: vote.voted })])
        .unwrap();
    for (choice, after) in choices(disk) {
        let (_, again) = start(&after, context);
        assert_eq!(again, vote, "{context}, then {choice:b}: the vote is lost");
    }
}

#[test]
fn power_loss_at_any_operation_retains_acknowledged_writes() {
    let mut cases = 0;
    for fuse in 0.. {
        let disk = SimDisk::default();
        let run = run(&disk, fuse);
        for (choice, survivor) in choices(&disk) {
            cases += 1;
            let context = format!("power lost after {fuse} operations, surviving {choice:b}");
            if !run.created && !matches!(open(survivor.copy()).unwrap(), Opened::Recovered { .. }) {
                continue;
            }
            let (_, found) = start(&survivor.copy(), &context);
            assert!(
                found.covers(&run.acknowledged),
                "{context}: {found:?} for {:?}",
                run.acknowledged
            );
            assert!(run.requested.covers(&found), "{context}: {found:?} was never requested");
            vote_and_lose_power(&survivor, &context);
        }
        if run.complete {
            break;
        }
    }
    assert!(cases > 100, "{cases} losses of power were tested");
}

/// Recovery after a loss of power loses power too, at each of its own operations.
#[test]
fn power_loss_during_recovery_retains_acknowledged_writes() {
    for fuse in 0.. {
        let disk = SimDisk::default();
        let run = run(&disk, fuse);
        for (choice, survivor) in choices(&disk).filter(|_| run.created) {
            for second in 0..8 {
                let again = survivor.copy();
                again.set_fuse(second);
                let opened = open(again.clone()).is_ok();
                for (later, after) in choices(&again) {
                    let context =
                        format!("{fuse}, surviving {choice:b}, then {second}, surviving {later:b}");
                    let (_, found) = start(&after, &context);
                    assert!(
                        found.covers(&run.acknowledged),
                        "{context}: {found:?} for {:?}",
                        run.acknowledged
                    );
                }
                if opened {
                    break;
                }
            }
        }
        if run.complete {
            break;
        }
    }
}

/// A new member on a damaged disk never recovers as the member that was on it.
#[test]
fn create_on_a_damaged_disk_never_recovers_the_former_member() {
    for damaged in LOGS.iter().chain(&SLOTS) {
        for fuse in 0.. {
            let disk = SimDisk::default();
            assert!(run(&disk, u64::MAX).complete);
            disk.lose_power_keeping(|_| true);
            disk.damage(damaged, 30);
            let Opened::Damaged { disk: old, .. } = open(disk.clone()).unwrap() else { break };
            disk.set_fuse(fuse);
            let created = Storage::create(old, NEXT_MEMBER).is_ok();
            for (choice, survivor) in choices(&disk) {
                let context = format!("{damaged}, {fuse} operations, surviving {choice:b}");
                match open(survivor).unwrap() {
                    Opened::Recovered { storage, .. } => {
                        assert_eq!(storage.id(), NEXT_MEMBER, "{context}")
                    }
                    _ => assert!(!created, "{context}: the new member is lost"),
                }
            }
            if created {
                break;
            }
        }
    }
}

/// A torn record before a complete one: the next start's record ends exactly where that begins.
#[test]
fn complete_record_after_a_torn_one_is_never_replayed() {
    let mut disk = SimDisk::default();
    let mut storage = Storage::create(disk.clone(), MEMBER).unwrap();
    let torn = storage.log_bytes();
    storage.apply(vec![append(1, 1), append(1, 2), hard(8)]).unwrap();
    let mut group = disk.read(LOGS[1]).unwrap().split_off(torn as usize);
    group[20] ^= 0x55;
    let mut disk = SimDisk::default();
    drop(Storage::create(disk.clone(), MEMBER).unwrap());
    disk.write(LOGS[1], torn, &group).unwrap();
    disk.sync(LOGS[1]).unwrap();

    let (mut storage, found) = start(&disk, "after the loss of power");
    assert_eq!(found, NONE, "nothing of the torn group was acknowledged");
    storage.apply(vec![append(1, 1), append(1, 2)]).unwrap();
    let (_, found) = start(&disk, "after the torn group");
    assert_eq!(found, Acknowledged { last: 2, ..NONE }, "a vote of the torn group was recovered");
}

#[test]
fn reservation_leaves_the_recovered_state_unchanged() {
    let disk = SimDisk::default();
    let mut storage = Storage::create(disk.clone(), MEMBER).unwrap();
    storage.reserve(Reservation { log_bytes: 4_096, slot_bytes: 4_096 }).unwrap();
    for group in script() {
        storage.apply(group).unwrap();
    }
    let last = script().iter().flatten().fold(NONE, Acknowledged::after);
    assert_eq!(start(&disk, "reserved").1, last);
}
