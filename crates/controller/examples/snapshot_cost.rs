//! Measures what a state with many tickets costs: memory, the clone on the thread that renews the
//! lease, encoding, one slot written to disk, and a restart.

use postbarrow_consensus::{HardState, Member, Snapshot, Write};
use postbarrow_constants::coordination::{
    STORED_RESPONSE_BYTES, STORED_RESPONSES_BYTES, TICKETS_MAX,
};
use postbarrow_state::*;
use postbarrow_storage::{FolderDisk, OpenResult, Storage, open};
use std::sync::Arc;
use std::time::Instant;

/// Returns a state with this many settled tickets, and stored responses up to their limit.
fn state_with_tickets(tickets: usize) -> State {
    let mut state = State::default();
    for at in 0..tickets as u64 {
        let key = Name::from(format!("made-{:x}-{at}-0123456789abcdef01234567", 0x1234_5678u64));
        let stored = StoredResponse {
            status: 200,
            headers: Vec::new(),
            body: vec![7; STORED_RESPONSE_BYTES],
        };
        let fits = state.stored_response_bytes + stored.size() as u64 <= STORED_RESPONSES_BYTES;
        state.stored_response_bytes += if fits { stored.size() as u64 } else { 0 };
        let ticket = Ticket {
            key: key.clone(),
            digest: [7; 32],
            service: "ledger".into(),
            instance: "ledger-1".into(),
            node: 9,
            number: at,
            settlement: Some(Settlement::Ran),
            response: fits.then(|| Arc::new(stored)),
            era: 0,
        };
        state.tickets.insert(key, Arc::new(ticket));
    }
    state
}

fn memory_mib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) / 1_024
}

fn main() {
    for tickets in [170 * 900, TICKETS_MAX] {
        let before = memory_mib();
        let state = state_with_tickets(tickets);
        println!("{tickets} tickets, {} MiB more in memory", memory_mib().saturating_sub(before));
        let start = Instant::now();
        let clone = state.clone();
        println!("  clone, on the thread that renews the lease: {:?}", start.elapsed());
        let start = Instant::now();
        let bytes = rmp_serde::to_vec(&clone).expect("encoding a state into memory succeeds");
        println!(
            "  encode, outside the control loop: {:?}, {} MiB",
            start.elapsed(),
            bytes.len() >> 20
        );
        let folder = std::env::temp_dir().join(format!("snapshot-cost-{}", std::process::id()));
        let disk = FolderDisk::new(folder.clone()).expect("the folder opens");
        let mut storage = Storage::create(disk, 1).expect("the storage is created");
        let member = Member { id: 1, address: ([127, 0, 0, 1], 1).into() };
        let snapshot = Snapshot { index: 1, term: 1, members: vec![member], state: bytes };
        let hard = HardState { term: 1, voted_for: None };
        let slot = Write::Slot { snapshot: Arc::new(snapshot), hard, entries: Vec::new() };
        let start = Instant::now();
        storage.apply(vec![slot]).expect("the slot is written");
        println!("  one slot written and synced: {:?}", start.elapsed());
        let start = Instant::now();
        let disk = FolderDisk::new(folder.clone()).expect("the folder opens again");
        let OpenResult::Recovered { recovered, .. } = open(disk).expect("disk opens") else {
            return;
        };
        let opened = start.elapsed();
        let stored = recovered.snapshot.expect("a snapshot was recovered");
        let read: State = rmp_serde::from_slice(&stored.state).expect("the snapshot decodes");
        println!("  restart: disk {opened:?}, state {:?} more", start.elapsed() - opened);
        assert_eq!(read.tickets.len(), tickets);
        let _ = std::fs::remove_dir_all(folder);
    }
}
