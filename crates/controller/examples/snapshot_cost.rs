//! How long a full state takes to encode: the reason it is not done where the hold is kept.

use postbarrow_constants::coordination::TICKETS;
use postbarrow_state::*;
use std::sync::Arc;
use std::time::Instant;

fn main() {
    let mut state = State::default();
    for at in 0..TICKETS as u64 {
        let key = Name::from(format!("{:016x}:{at}", 0x1234_5678_9abc_def0u64));
        let kept = Kept {
            status: 200,
            headers: vec![("content-type".into(), "application/json".into())],
            body: vec![b'x'; 300],
        };
        let ticket = Ticket {
            key: key.clone(),
            digest: [7; 32],
            service: "ledger".into(),
            instance: "ledger-1".into(),
            node: 9,
            number: at,
            settled: Some(Settlement::Ran),
            response: Some(Arc::new(kept)),
            era: 0,
        };
        state.tickets.insert(key, Arc::new(ticket));
    }
    let start = Instant::now();
    let clone = state.clone();
    let cloned = start.elapsed();
    let start = Instant::now();
    let bytes = rmp_serde::to_vec(&clone).expect("a state encodes into memory");
    let encoded = start.elapsed();
    println!("{} tickets: clone {cloned:?}, encode {encoded:?}, {} bytes", TICKETS, bytes.len());
}
