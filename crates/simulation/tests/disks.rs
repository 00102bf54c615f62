//! The disk of a simulated cluster's leader stalls: another member must become leader, and no
//! process may end.

use postbarrow_consensus::Write;
use postbarrow_constants::consensus::*;
use postbarrow_simulation::{DiskFault, World};

const FORMED_US: u64 = 6_000_000;
const STALL_US: u64 = 8_000_000;

/// Returns a formed cluster, and the index of its leader.
fn formed_cluster(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, 5, 12);
    world.run_until(FORMED_US);
    let leader = world.leader().expect("the formed cluster has a leader");
    (world, leader)
}

/// A stall is tolerated longer while the leader writes a snapshot's slot, as in seed 2.
#[test]
fn stalled_leader_disk_leads_to_a_new_leader_within_an_election() {
    for seed in 1..=5 {
        let (mut world, stalled) = formed_cluster(seed);
        let incarnation = world.control[stalled].incarnation;
        world.control[stalled].disk.set_fault(Some(DiskFault::Stalls));
        let new_leader = |world: &World| world.leader().filter(|leader| *leader != stalled);
        while new_leader(&world).is_none() && world.now_us < FORMED_US + STALL_US {
            let next_us = world.now_us + TICK_MS * 1_000;
            world.run_until(next_us);
        }
        let took_ms = (world.now_us - FORMED_US) / 1_000;
        let writes_slot =
            world.control[stalled].writes().any(|write| matches!(write, Write::Slot { .. }));
        let stall_limit_ms = if writes_slot { DISK_STALL_SLOT_MS } else { DISK_STALL_MS };
        let max_ms = stall_limit_ms + ELECTION_MIN_MS + ELECTION_SPREAD_MS;
        assert!(took_ms <= max_ms, "seed {seed}: {took_ms} ms until another member led");
        while world.now_us < FORMED_US + STALL_US {
            let next_us = world.now_us + 5 * TICK_MS * 1_000;
            world.run_until(next_us);
            let leader = world.leader();
            assert!(
                leader.is_some_and(|leader| leader != stalled),
                "seed {seed}: leader {leader:?}"
            );
        }
        assert_eq!(
            world.control[stalled].incarnation, incarnation,
            "seed {seed}: the process with the stalled disk ended"
        );
        assert!(world.ledger.violations.is_empty(), "seed {seed}: {:?}", world.ledger.violations);
    }
}
