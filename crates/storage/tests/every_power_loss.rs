//! Cuts the power at every operation of a script, with every combination of unsynced names and
//! writes that survive, each independently.

use postbarrow_consensus::{Entry, HardState, Member, Payload, RecoveredState, Snapshot, Write};
use postbarrow_simulation::SimDisk;
use postbarrow_storage::{Disk, LOG_FILES, OpenResult, Reservation, SLOT_FILES, Storage, open};
use std::sync::Arc;

const MEMBER: u64 = 9;
const NEW_MEMBER: u64 = 10;

fn hard_state(term: u64) -> Write {
    Write::HardState(HardState { term, voted_for: Some(term) })
}

/// Entries differ in size, so that records of two attempts rarely end at the same offset.
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
        vec![hard_state(1)],
        vec![append(1, 1), append(1, 2)],
        vec![hard_state(2), append(2, 3)],
        vec![slot(2, 3)],
        vec![append(2, 4), append(2, 5), hard_state(3)],
        vec![append(3, 6), slot(3, 6)],
        vec![hard_state(4)],
        vec![slot(4, 6), append(4, 7)],
        vec![hard_state(5)],
    ]
}

/// The part of a member's state that must not regress: its term, its vote in that term, and the
/// index of its last entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct MemberState {
    term: u64,
    voted_for: Option<u64>,
    last_index: u64,
}

const INITIAL_STATE: MemberState = MemberState { term: 0, voted_for: None, last_index: 0 };

impl MemberState {
    /// Returns the state after a write.
    fn after(mut self, write: &Write) -> MemberState {
        match write {
            Write::HardState(hard) | Write::Slot { hard, .. } => {
                (self.term, self.voted_for) = (hard.term, hard.voted_for);
            }
            Write::Append(entries) => self.last_index = entries.last().unwrap().index,
            Write::Truncate { .. } => unreachable!("the script truncates nothing"),
        }
        self
    }

    /// Returns whether this state has no older term, no other vote in the same term and no fewer
    /// entries than the other.
    fn covers(&self, other: &MemberState) -> bool {
        let retains_term_and_vote =
            self.term > other.term || (self.term, self.voted_for) == (other.term, other.voted_for);
        retains_term_and_vote && self.last_index >= other.last_index
    }

    fn of(recovered: &RecoveredState) -> MemberState {
        let snapshot_index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let last_index = recovered.entries.last().map_or(snapshot_index, |entry| entry.index);
        MemberState { term: recovered.term, voted_for: recovered.voted_for, last_index }
    }
}

/// Runs the script on a disk that loses power after `fuse` operations.
fn run_script(disk: &SimDisk, fuse: u64) -> ScriptRun {
    disk.set_power_loss_after(fuse);
    let mut run = ScriptRun {
        created: false,
        acknowledged: INITIAL_STATE,
        requested: INITIAL_STATE,
        complete: false,
    };
    let Ok(mut storage) = Storage::create(disk.clone(), MEMBER) else { return run };
    run.created = true;
    for group in script() {
        run.requested = group.iter().fold(run.acknowledged, MemberState::after);
        if storage.apply(group).is_err() {
            return run;
        }
        run.acknowledged = run.requested;
    }
    run.complete = true;
    run
}

/// How far a run of the script came.
struct ScriptRun {
    /// Whether the storage was created.
    created: bool,
    /// The state after the last group whose sync returned.
    acknowledged: MemberState,
    /// The state after the last group that was requested.
    requested: MemberState,
    /// Whether the script ended before the power was lost.
    complete: bool,
}

/// Returns a copy of the disk after a loss of power for each combination of unsynced names and
/// writes that survive, with the combination as a bit mask.
fn power_loss_survivors(disk: &SimDisk) -> impl Iterator<Item = (u64, SimDisk)> {
    let unsynced = disk.unsynced_units();
    assert!(
        unsynced <= 12,
        "{unsynced} unsynced writes and names are too many to test all combinations"
    );
    let disk = disk.clone();
    (0..1u64 << unsynced).map(move |mask| {
        let survivor = disk.copy();
        survivor.lose_power_keeping(|at| mask >> at & 1 == 1);
        (mask, survivor)
    })
}

/// Opens the disk, which must recover a contiguous log of the member.
fn recover(disk: &SimDisk, context: &str) -> (Storage<SimDisk>, MemberState) {
    match open(disk.clone()).unwrap() {
        OpenResult::Recovered { storage, recovered } => {
            assert_eq!(storage.id(), MEMBER, "{context}: another member was recovered");
            let indexes: Vec<u64> = recovered.entries.iter().map(|entry| entry.index).collect();
            let first = indexes.first().copied().unwrap_or(1);
            let in_order = (first..).take(indexes.len()).collect::<Vec<_>>();
            assert_eq!(indexes, in_order, "{context}: entries are missing or repeated");
            (storage, MemberState::of(&recovered))
        }
        OpenResult::Empty(_) => panic!("{context}: opened as empty"),
        OpenResult::Damaged { damage, .. } => panic!("{context}: opened as damaged: {damage}"),
    }
}

/// Recovers the member and stores a vote. The vote must be recovered whatever survives the next
/// loss of power.
fn vote_and_lose_power(disk: &SimDisk, context: &str) {
    let (mut storage, recovered_state) = recover(disk, context);
    let vote = MemberState {
        term: recovered_state.term + 1,
        voted_for: Some(77),
        last_index: recovered_state.last_index,
    };
    storage
        .apply(vec![Write::HardState(HardState { term: vote.term, voted_for: vote.voted_for })])
        .unwrap();
    for (mask, after) in power_loss_survivors(disk) {
        let (_, recovered_vote) = recover(&after, context);
        assert_eq!(recovered_vote, vote, "{context}, surviving {mask:b}: the vote is lost");
    }
}

#[test]
fn power_loss_at_any_operation_retains_acknowledged_writes() {
    let mut cases = 0;
    for fuse in 0.. {
        let disk = SimDisk::default();
        let run = run_script(&disk, fuse);
        for (mask, survivor) in power_loss_survivors(&disk) {
            cases += 1;
            let context = format!("power lost after {fuse} operations, surviving {mask:b}");
            if !run.created
                && !matches!(open(survivor.copy()).unwrap(), OpenResult::Recovered { .. })
            {
                continue;
            }
            let (_, recovered_state) = recover(&survivor.copy(), &context);
            assert!(
                recovered_state.covers(&run.acknowledged),
                "{context}: {recovered_state:?} was recovered, {:?} was acknowledged",
                run.acknowledged
            );
            assert!(
                run.requested.covers(&recovered_state),
                "{context}: {recovered_state:?} was never requested"
            );
            vote_and_lose_power(&survivor, &context);
        }
        if run.complete {
            break;
        }
    }
    assert!(cases > 100, "only {cases} losses of power were tested");
}

/// A second loss of power hits the recovery from the first, at each operation of the recovery.
#[test]
fn power_loss_during_recovery_retains_acknowledged_writes() {
    for fuse in 0.. {
        let disk = SimDisk::default();
        let run = run_script(&disk, fuse);
        for (mask, survivor) in power_loss_survivors(&disk).filter(|_| run.created) {
            for second_fuse in 0..8 {
                let recovering = survivor.copy();
                recovering.set_power_loss_after(second_fuse);
                let opened = open(recovering.clone()).is_ok();
                for (second_mask, after) in power_loss_survivors(&recovering) {
                    let context = format!(
                        "{fuse}, surviving {mask:b}, then {second_fuse}, surviving {second_mask:b}"
                    );
                    let (_, recovered_state) = recover(&after, &context);
                    assert!(
                        recovered_state.covers(&run.acknowledged),
                        "{context}: {recovered_state:?} was recovered, {:?} was acknowledged",
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
    for damaged in LOG_FILES.iter().chain(&SLOT_FILES) {
        for fuse in 0.. {
            let disk = SimDisk::default();
            assert!(run_script(&disk, u64::MAX).complete);
            disk.lose_power_keeping(|_| true);
            disk.damage(damaged, 30);
            let OpenResult::Damaged { disk: old, .. } = open(disk.clone()).unwrap() else { break };
            disk.set_power_loss_after(fuse);
            let created = Storage::create(old, NEW_MEMBER).is_ok();
            for (mask, survivor) in power_loss_survivors(&disk) {
                let context = format!("{damaged}, {fuse} operations, surviving {mask:b}");
                match open(survivor).unwrap() {
                    OpenResult::Recovered { storage, .. } => {
                        assert_eq!(
                            storage.id(),
                            NEW_MEMBER,
                            "{context}: another member was recovered"
                        )
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

/// Guards against replaying a record that was never acknowledged: a torn record precedes a complete
/// one, and the record written after the next start ends exactly where the complete one begins.
#[test]
fn complete_record_after_a_torn_one_is_never_replayed() {
    let mut disk = SimDisk::default();
    let mut storage = Storage::create(disk.clone(), MEMBER).unwrap();
    let torn = storage.log_bytes();
    storage.apply(vec![append(1, 1), append(1, 2), hard_state(8)]).unwrap();
    let mut group = disk.read(LOG_FILES[1]).unwrap().split_off(torn as usize);
    group[20] ^= 0x55;
    let mut disk = SimDisk::default();
    drop(Storage::create(disk.clone(), MEMBER).unwrap());
    disk.write(LOG_FILES[1], torn, &group).unwrap();
    disk.sync(LOG_FILES[1]).unwrap();

    let (mut storage, recovered_state) = recover(&disk, "after the loss of power");
    assert_eq!(recovered_state, INITIAL_STATE, "nothing of the torn group was acknowledged");
    storage.apply(vec![append(1, 1), append(1, 2)]).unwrap();
    let (_, recovered_state) = recover(&disk, "after the torn group");
    assert_eq!(
        recovered_state,
        MemberState { last_index: 2, ..INITIAL_STATE },
        "a vote of the torn group was recovered"
    );
}

#[test]
fn reservation_leaves_the_recovered_state_unchanged() {
    let disk = SimDisk::default();
    let mut storage = Storage::create(disk.clone(), MEMBER).unwrap();
    storage.reserve(Reservation { log_bytes: 4_096, slot_bytes: 4_096 }).unwrap();
    for group in script() {
        storage.apply(group).unwrap();
    }
    let last = script().iter().flatten().fold(INITIAL_STATE, MemberState::after);
    assert_eq!(recover(&disk, "reserved").1, last);
}
