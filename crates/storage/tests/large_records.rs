//! Records of any size that is written are read again.
//!
//! Guards against a disk that counts as damaged at the next start because a log begins with more
//! entries than its reader once allowed: those that arrived while a snapshot was encoded.

use postbarrow_consensus::{Entry, HardState, Member, Payload, Snapshot, Write};
use postbarrow_simulation::SimDisk;
use postbarrow_storage::{OpenResult, Storage, open};
use std::sync::Arc;

const MEMBER: u64 = 9;
/// Size of one entry, the largest that a plan's record takes.
const ENTRY_BYTES: usize = 8 * 1024 * 1024;
/// Number of entries; together they have more than the 64 MiB of the former bound.
const ENTRIES: u64 = 9;

fn entry(index: u64) -> Entry {
    Entry { term: 1, index, payload: Payload::Batch(vec![index as u8; ENTRY_BYTES]) }
}

fn slot(entries: Vec<Entry>) -> Write {
    let members = vec![Member { id: MEMBER, address: "10.0.0.1:1".parse().unwrap() }];
    let snapshot = Arc::new(Snapshot { index: 1, term: 1, members, state: vec![7] });
    Write::Slot { snapshot, hard: HardState { term: 1, voted_for: None }, entries }
}

fn recovered_indexes(disk: SimDisk) -> Vec<u64> {
    match open(disk) {
        Ok(OpenResult::Recovered { recovered, .. }) => {
            recovered.entries.iter().map(|entry| entry.index).collect()
        }
        _ => panic!("the disk is not recovered"),
    }
}

#[test]
fn a_log_that_begins_with_more_than_64_mib_of_entries_is_read_again() {
    let disk = SimDisk::default();
    let mut storage = Storage::create(disk.clone(), MEMBER).unwrap();
    let entries: Vec<Entry> = (2..2 + ENTRIES).map(entry).collect();
    storage.apply(vec![slot(entries)]).unwrap();
    storage.apply(vec![Write::Append(vec![entry(2 + ENTRIES)])]).unwrap();
    let expected: Vec<u64> = (2..=2 + ENTRIES).collect();
    assert_eq!(recovered_indexes(disk), expected);
}

#[test]
fn an_append_of_more_than_64_mib_is_read_again() {
    let disk = SimDisk::default();
    let mut storage = Storage::create(disk.clone(), MEMBER).unwrap();
    storage.apply(vec![slot(Vec::new())]).unwrap();
    storage.apply(vec![Write::Append((2..2 + ENTRIES).map(entry).collect())]).unwrap();
    storage.apply(vec![Write::HardState(HardState { term: 2, voted_for: None })]).unwrap();
    let expected: Vec<u64> = (2..2 + ENTRIES).collect();
    assert_eq!(recovered_indexes(disk), expected);
}
