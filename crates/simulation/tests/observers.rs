//! Observers, i.e. control machines without a lasting disk, as the only seeds of all other
//! processes.

use postbarrow_simulation::World;

const SEEDS: u64 = 4;
const FORMED_US: u64 = 6_000_000;
/// The sum of the time limits of control nodes and data nodes for recovery, and a margin.
const RECOVERED_US: u64 = 8_000_000;
/// The time for which processes are down: longer than any frame is in flight.
const DOWN_US: u64 = 1_000_000;
const DATA_NODES: usize = 4;

/// Returns a cluster in full service, and the indexes of three observers, which are the seeds of
/// all later starts.
fn cluster_with_observers_as_seeds(seed: u64) -> (World, Vec<usize>) {
    let mut world = World::new(seed, DATA_NODES, 6);
    world.run_until(FORMED_US);
    let observers: Vec<usize> = (0..3).map(|_| world.add_observer()).collect();
    world.run_until(2 * FORMED_US);
    assert!(world.has_full_service(), "seed {seed}: no full service before the seeds change");
    world.control_seeds_only = true;
    world.seeds = observers.iter().map(|index| world.control[*index].address).collect();
    (world, observers)
}

/// Ends these control machines and all data nodes, and starts them again when no frame to them is
/// in flight any more.
fn restart(world: &mut World, control: &[usize]) {
    control.iter().for_each(|index| world.end_control(*index, true));
    (0..DATA_NODES).for_each(|index| world.end_data(index));
    let until_us = world.now_us + DOWN_US;
    world.run_until(until_us);
    control.iter().for_each(|index| world.start_control(*index));
    (0..DATA_NODES).for_each(|index| world.start_data(index));
}

fn assert_serves(world: &mut World, seed: u64) {
    let until_us = world.now_us + RECOVERED_US;
    world.run_until(until_us);
    assert!(world.has_full_service(), "seed {seed}: no full service after the restart");
    assert_eq!(world.ledger.violations, Vec::<String>::new(), "seed {seed}");
}

#[test]
fn data_nodes_seeded_with_observers_only_find_the_controller() {
    for seed in 0..SEEDS {
        let (mut world, _) = cluster_with_observers_as_seeds(seed);
        restart(&mut world, &[]);
        assert_serves(&mut world, seed);
    }
}

#[test]
fn all_processes_restart_with_observers_as_seeds() {
    for seed in 0..SEEDS {
        let (mut world, observers) = cluster_with_observers_as_seeds(seed);
        let all: Vec<usize> = (0..3).chain(observers).collect();
        restart(&mut world, &all);
        assert_serves(&mut world, seed);
    }
}

#[test]
fn observers_restarted_later_with_each_other_as_seeds_are_found_by_the_members() {
    for seed in 0..SEEDS {
        let (mut world, observers) = cluster_with_observers_as_seeds(seed);
        restart(&mut world, &[0, 1, 2]);
        assert_serves(&mut world, seed);
        restart(&mut world, &observers);
        assert_serves(&mut world, seed);
    }
}
