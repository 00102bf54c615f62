//! A leader's disk stalls in a simulated cluster: another member leads, and no process ends.

use postbarrow_consensus::Write;
use postbarrow_constants::consensus::*;
use postbarrow_simulation::{DiskFault, World};

const FORMED_US: u64 = 6_000_000;
const STALLED_US: u64 = 8_000_000;

/// The cluster, and which of its machines leads.
fn formed(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, 5, 12);
    world.run_until(FORMED_US);
    let leader = world.leader().expect("the formed cluster has a leader");
    (world, leader)
}

/// The bound of a stall is longer while the leader writes a snapshot's slot, as in seed 2.
#[test]
fn stalled_leader_disk_leads_to_a_new_leader_within_an_election() {
    for seed in 1..=5 {
        let (mut world, stalled) = formed(seed);
        let incarnation = world.control[stalled].incarnation;
        world.control[stalled].disk.set_fault(Some(DiskFault::Stalls));
        let others = |world: &World| world.leader().filter(|leader| *leader != stalled);
        while others(&world).is_none() && world.now_us < FORMED_US + STALLED_US {
            let next_us = world.now_us + TICK_MS * 1_000;
            world.run_until(next_us);
        }
        let took_ms = (world.now_us - FORMED_US) / 1_000;
        let slot = world.control[stalled].writes().any(|write| matches!(write, Write::Slot { .. }));
        let bound_ms = if slot { DISK_STALL_SLOT_MS } else { DISK_STALL_MS };
        let usual_ms = bound_ms + ELECTION_MIN_MS + ELECTION_SPREAD_MS;
        assert!(took_ms <= usual_ms, "seed {seed}: {took_ms} ms until another led");
        while world.now_us < FORMED_US + STALLED_US {
            let next_us = world.now_us + 5 * TICK_MS * 1_000;
            world.run_until(next_us);
            let leader = world.leader();
            assert!(leader.is_some_and(|leader| leader != stalled), "seed {seed}: {leader:?}");
        }
        assert_eq!(
            world.control[stalled].incarnation, incarnation,
            "seed {seed}: its process ended"
        );
        assert!(world.ledger.violations.is_empty(), "seed {seed}: {:?}", world.ledger.violations);
    }
}
