//! Power is lost at every operation of a script, with every choice of the unsynced names and
//! writes that are kept, each by itself.

use postbarrow_consensus::{Entry, HardState, Member, Payload, RecoveredState, Snapshot, Write};
use postbarrow_simulation::SimDisk;
use postbarrow_storage::{Disk, LOGS, Opened, Reservation, SLOTS, Storage, open};
use std::sync::Arc;

const MEMBER: u64 = 9;
const NEXT_MEMBER: u64 = 10;

fn hard(term: u64) -> Write {
    Write::HardState(HardState { term, voted_for: Some(term) })
}

/// Entries differ in size, so that records of two tries seldom end at the same place.
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

/// Groups of writes, each promised once its sync has returned. Two generations go over each file,
/// the later ones shorter.
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

/// What a member may not go back behind: its term, its vote in it, and its last entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Promise {
    term: u64,
    voted: Option<u64>,
    last: u64,
}

const NOTHING: Promise = Promise { term: 0, voted: None, last: 0 };

impl Promise {
    fn after(mut self, write: &Write) -> Promise {
        match write {
            Write::HardState(hard) | Write::Slot { hard, .. } => {
                (self.term, self.voted) = (hard.term, hard.voted_for);
            }
            Write::Append(entries) => self.last = entries.last().unwrap().index,
            Write::Truncate { .. } => unreachable!("the script cuts nothing"),
        }
        self
    }

    fn covers(&self, other: &Promise) -> bool {
        let votes = self.term > other.term || (self.term, self.voted) == (other.term, other.voted);
        votes && self.last >= other.last
    }

    fn of(found: &RecoveredState) -> Promise {
        let kept = found.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let last = found.entries.last().map_or(kept, |entry| entry.index);
        Promise { term: found.term, voted: found.voted_for, last }
    }
}

/// Runs the script on a disk whose power goes after so many operations.
fn run(disk: &SimDisk, fuse: u64) -> Run {
    disk.set_fuse(fuse);
    let mut run = Run { created: false, promised: NOTHING, asked: NOTHING, whole: false };
    let Ok(mut storage) = Storage::create(disk.clone(), MEMBER) else { return run };
    run.created = true;
    for group in script() {
        run.asked = group.iter().fold(run.promised, Promise::after);
        if storage.apply(group).is_err() {
            return run;
        }
        run.promised = run.asked;
    }
    run.whole = true;
    run
}

struct Run {
    created: bool,
    promised: Promise,
    asked: Promise,
    /// The script ended before the power did.
    whole: bool,
}

/// Every choice of what a loss of power keeps of a disk, as a disk of its own.
fn choices(disk: &SimDisk) -> impl Iterator<Item = (u64, SimDisk)> {
    let unsynced = disk.unsynced();
    assert!(unsynced <= 12, "{unsynced} unsynced things are too many to try all");
    let disk = disk.clone();
    (0..1u64 << unsynced).map(move |choice| {
        let kept = disk.copy();
        kept.lose_power_keeping(|at| choice >> at & 1 == 1);
        (choice, kept)
    })
}

fn start(disk: &SimDisk, told: &str) -> (Storage<SimDisk>, Promise) {
    match open(disk.clone()).unwrap() {
        Opened::Whole { storage, recovered } => {
            assert_eq!(storage.id(), MEMBER, "{told}");
            let indexes: Vec<u64> = recovered.entries.iter().map(|entry| entry.index).collect();
            let first = indexes.first().copied().unwrap_or(1);
            let in_order = (first..).take(indexes.len()).collect::<Vec<_>>();
            assert_eq!(indexes, in_order, "{told}: entries are missing or doubled");
            (storage, Promise::of(&recovered))
        }
        Opened::Empty(_) => panic!("{told}: taken for empty"),
        Opened::Damaged { finding, .. } => panic!("{told}: {finding}"),
    }
}

/// A start votes; whatever the next loss of power keeps, the start after it knows the vote.
fn vote_and_lose_power(disk: &SimDisk, told: &str) {
    let (mut storage, found) = start(disk, told);
    let vote = Promise { term: found.term + 1, voted: Some(77), last: found.last };
    storage
        .apply(vec![Write::HardState(HardState { term: vote.term, voted_for: vote.voted })])
        .unwrap();
    for (choice, after) in choices(disk) {
        let (_, again) = start(&after, told);
        assert_eq!(again, vote, "{told}, then {choice:b}: the vote is forgotten");
    }
}

#[test]
fn no_loss_of_power_takes_a_promise_back() {
    let mut tried = 0;
    for fuse in 0.. {
        let disk = SimDisk::default();
        let run = run(&disk, fuse);
        for (choice, kept) in choices(&disk) {
            tried += 1;
            let told = format!("power lost after {fuse} operations, kept {choice:b}");
            if !run.created && !matches!(open(kept.copy()).unwrap(), Opened::Whole { .. }) {
                continue;
            }
            let (_, found) = start(&kept.copy(), &told);
            assert!(found.covers(&run.promised), "{told}: {found:?} for {:?}", run.promised);
            assert!(run.asked.covers(&found), "{told}: {found:?} was never asked for");
            vote_and_lose_power(&kept, &told);
        }
        if run.whole {
            break;
        }
    }
    assert!(tried > 100, "{tried} losses of power were tried");
}

/// The start after a loss of power loses power too, at each of its own operations.
#[test]
fn no_second_loss_of_power_takes_a_promise_back() {
    for fuse in 0.. {
        let disk = SimDisk::default();
        let run = run(&disk, fuse);
        for (choice, kept) in choices(&disk).filter(|_| run.created) {
            for second in 0..8 {
                let again = kept.copy();
                again.set_fuse(second);
                let opened = open(again.clone()).is_ok();
                for (later, after) in choices(&again) {
                    let told = format!("{fuse}, kept {choice:b}, then {second}, kept {later:b}");
                    let (_, found) = start(&after, &told);
                    assert!(
                        found.covers(&run.promised),
                        "{told}: {found:?} for {:?}",
                        run.promised
                    );
                }
                if opened {
                    break;
                }
            }
        }
        if run.whole {
            break;
        }
    }
}

/// Who takes a damaged disk over never comes back as the member that was on it.
#[test]
fn an_erased_member_never_comes_back() {
    for damaged in LOGS.iter().chain(&SLOTS) {
        for fuse in 0.. {
            let disk = SimDisk::default();
            assert!(run(&disk, u64::MAX).whole);
            disk.lose_power_keeping(|_| true);
            disk.damage(damaged, 30);
            let Opened::Damaged { disk: old, .. } = open(disk.clone()).unwrap() else { break };
            disk.set_fuse(fuse);
            let created = Storage::create(old, NEXT_MEMBER).is_ok();
            for (choice, kept) in choices(&disk) {
                let told = format!("{damaged}, {fuse} operations, kept {choice:b}");
                match open(kept).unwrap() {
                    Opened::Whole { storage, .. } => {
                        assert_eq!(storage.id(), NEXT_MEMBER, "{told}")
                    }
                    _ => assert!(!created, "{told}: the new member is lost"),
                }
            }
            if created {
                break;
            }
        }
    }
}

/// A torn record in front of a whole one: the next start's record ends right where that begins.
#[test]
fn a_record_behind_a_torn_one_is_never_read_later() {
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
    assert_eq!(found, NOTHING, "nothing of the torn group was promised");
    storage.apply(vec![append(1, 1), append(1, 2)]).unwrap();
    let (_, found) = start(&disk, "after the torn group");
    assert_eq!(found, Promise { last: 2, ..NOTHING }, "a vote of the torn group came back");
}

#[test]
fn reserved_space_changes_nothing_that_is_read() {
    let disk = SimDisk::default();
    let mut storage = Storage::create(disk.clone(), MEMBER).unwrap();
    storage.reserve(Reservation { log_bytes: 4_096, slot_bytes: 4_096 }).unwrap();
    for group in script() {
        storage.apply(group).unwrap();
    }
    let last = script().iter().flatten().fold(NOTHING, Promise::after);
    assert_eq!(start(&disk, "reserved").1, last);
}
