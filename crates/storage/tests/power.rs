//! Recovery after a loss of power, and damage that is not a torn tail.

use postbarrow_consensus::{Entry, HardState, Member, Payload, RecoveredState, Snapshot, Write};
use postbarrow_simulation::{DiskFault, Random, SimDisk};
use postbarrow_storage::{Disk, LOG_FILES, OpenResult, SLOT_FILES, Storage, open};
use std::sync::Arc;

fn entry(term: u64, index: u64) -> Entry {
    Entry { term, index, payload: Payload::Batch(vec![index as u8; 40]) }
}

fn reopen(disk: &SimDisk) -> (Storage<SimDisk>, RecoveredState) {
    match open(disk.clone()).unwrap() {
        OpenResult::Recovered { storage, recovered } => (storage, recovered),
        OpenResult::Empty(_) => panic!("the disk is empty"),
        OpenResult::Damaged { damage, .. } => panic!("the disk is damaged: {damage}"),
    }
}

fn slot(index: u64, term: u64, entries: Vec<Entry>) -> Write {
    let members = vec![Member { id: 1, address: "10.0.0.1:1".parse().unwrap() }];
    let snapshot = Arc::new(Snapshot { index, term, members, state: vec![7; 300] });
    Write::Slot { snapshot, hard: HardState { term, voted_for: Some(1) }, entries }
}

/// The part of a member's written state on which its next random write depends.
struct Model {
    /// Index of the last entry.
    last_index: u64,
    term: u64,
    snapshot_index: u64,
    /// The term in the last write that stores a term.
    durable_term: u64,
}

impl Model {
    fn next_write(&mut self, random: &mut Random) -> Write {
        match random.below(6) {
            0 => {
                self.term += 1;
                self.durable_term = self.term;
                Write::HardState(HardState { term: self.term, voted_for: Some(2) })
            }
            1 if self.last_index > self.snapshot_index => {
                self.snapshot_index =
                    self.last_index - random.below(self.last_index - self.snapshot_index);
                self.durable_term = self.term;
                let rest = self.snapshot_index + 1..=self.last_index;
                let entries = rest.map(|index| entry(self.term, index)).collect();
                slot(self.snapshot_index, self.term, entries)
            }
            _ => {
                self.last_index += 1;
                Write::Append(vec![entry(self.term, self.last_index)])
            }
        }
    }
}

#[test]
fn synced_writes_are_recovered_after_power_loss_at_any_operation() {
    for seed in 0..400 {
        let mut random = Random::new(seed);
        let disk = SimDisk::default();
        let mut storage = Storage::create(disk.clone(), 9).unwrap();
        let mut model = Model { last_index: 0, term: 1, snapshot_index: 0, durable_term: 0 };
        let steps = random.below(30);
        for _ in 0..steps {
            storage.apply(vec![model.next_write(&mut random)]).unwrap();
        }
        let Model { last_index, term, durable_term, .. } = model;
        disk.set_power_loss_after(random.below(5));
        let outcome = storage.apply(vec![
            Write::Append(vec![entry(term, last_index + 1)]),
            slot(last_index, term, vec![entry(term, last_index + 1)]),
        ]);
        disk.lose_power(&mut random);
        let (storage, recovered) = reopen(&disk);
        assert_eq!(storage.id(), 9, "seed {seed}: another member was recovered");
        assert!(recovered.term >= durable_term, "seed {seed}: the term is lost");
        let found_index = recovered.entries.last().map_or(0, |entry| entry.index);
        let found_index =
            found_index.max(recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index));
        assert!(
            found_index >= last_index,
            "seed {seed}: entries up to {found_index} of {last_index}, last write {outcome:?}"
        );
        assert!(
            found_index <= last_index + 1,
            "seed {seed}: an entry was recovered that was never requested"
        );
    }
}

#[test]
fn truncate_then_append_in_a_new_term_replaces_entries() {
    let disk = SimDisk::default();
    let mut storage = Storage::create(disk.clone(), 9).unwrap();
    let old = vec![entry(1, 1), entry(1, 2), entry(1, 3)];
    storage.apply(vec![Write::Append(old)]).unwrap();
    storage.apply(vec![Write::Truncate { from: 2 }, Write::Append(vec![entry(2, 2)])]).unwrap();
    let (_, recovered) = reopen(&disk);
    assert_eq!(recovered.entries, [entry(1, 1), entry(2, 2)]);
}

#[test]
fn damage_to_synced_bytes_is_reported_and_never_mistaken_for_a_torn_tail() {
    for file in LOG_FILES.iter().chain(&SLOT_FILES) {
        let disk = SimDisk::default();
        let mut storage = Storage::create(disk.clone(), 9).unwrap();
        storage.apply(vec![slot(0, 1, Vec::new())]).unwrap();
        for index in 1..=5 {
            storage.apply(vec![Write::Append(vec![entry(1, index)])]).unwrap();
        }
        let is_current = disk.length(file) > 0 && (*file == LOG_FILES[0] || *file == SLOT_FILES[0]);
        let at = if file.starts_with("log") { 150 } else { 30 };
        disk.damage(file, at);
        match open(disk.clone()).unwrap() {
            OpenResult::Damaged { damage, .. } => assert!(
                is_current,
                "{file}: not of the current generation, but reported as {damage}"
            ),
            OpenResult::Recovered { recovered, .. } => {
                assert!(!is_current, "{file}: the damage was not detected");
                assert_eq!(recovered.entries.len(), 5);
            }
            OpenResult::Empty(_) => panic!("{file}: opened as empty"),
        }
    }
}

#[test]
fn torn_first_slot_opens_as_empty() {
    let mut disk = SimDisk::default();
    disk.write(SLOT_FILES[1], 0, b"PBSLOT01 half").unwrap();
    assert!(matches!(open(disk).unwrap(), OpenResult::Empty(_)));
}

/// After a failed sync the operating system may treat dirty pages as written: reads return them
/// until power is lost. Recovery on such a disk must not depend on them.
#[test]
fn writes_of_a_failed_sync_are_rewritten_on_open_or_not_recovered() {
    for fault in [DiskFault::SyncFails, DiskFault::WriteFails, DiskFault::Full] {
        for with_slot in [false, true] {
            let disk = SimDisk::default();
            let mut storage = Storage::create(disk.clone(), 9).unwrap();
            storage.apply(vec![Write::Append(vec![entry(1, 1)])]).unwrap();
            disk.set_fault(Some(fault));
            let write = match with_slot {
                true => slot(1, 1, vec![entry(1, 2)]),
                false => Write::Append(vec![entry(1, 2)]),
            };
            assert!(storage.apply(vec![write]).is_err(), "{fault:?} is not reported");
            disk.set_fault(None);
            let (mut storage, recovered) = reopen(&disk);
            let next_index = recovered.entries.last().unwrap().index + 1;
            storage.apply(vec![Write::Append(vec![entry(1, next_index)])]).unwrap();
            disk.lose_power(&mut Random::new(7));
            let (_, durable) = reopen(&disk);
            let indexes = |state: &RecoveredState| {
                state.entries.iter().map(|entry| entry.index).collect::<Vec<_>>()
            };
            let expected: Vec<u64> = (1..=next_index).collect();
            assert_eq!(
                indexes(&durable),
                expected,
                "{fault:?}, slot {with_slot}: recovered indexes"
            );
        }
    }
}
