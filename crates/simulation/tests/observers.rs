//! Observers, control machines without a lasting disk, as the only seeds of all others.

use postbarrow_simulation::World;

const SEEDS: u64 = 4;
const FORMED_US: u64 = 6_000_000;
/// Every bound of the control nodes and of the data nodes together, and a margin.
const RECOVERED_US: u64 = 8_000_000;
/// Longer than any frame is in flight.
const DOWN_US: u64 = 1_000_000;
const DATA_NODES: usize = 4;

/// A cluster in full service with three observers, which are the seeds of all later starts.
fn cluster_with_observers_as_seeds(seed: u64) -> (World, Vec<usize>) {
    let mut world = World::new(seed, DATA_NODES, 6);
    world.run_until(FORMED_US);
    let observers: Vec<usize> = (0..3).map(|_| world.add_observer()).collect();
    world.run_until(2 * FORMED_US);
    assert!(world.has_full_service(), "seed {seed}: no service before the seeds change");
    world.control_seeds_only = true;
    world.seeds = observers.iter().map(|at| world.control[*at].address).collect();
    (world, observers)
}

/// Ends these control machines and all data nodes, and starts them when no frame to them is in flight.
fn restart(world: &mut World, control: &[usize]) {
    control.iter().for_each(|at| world.end_control(*at, true));
    (0..DATA_NODES).for_each(|at| world.end_data(at));
    let until_us = world.now_us + DOWN_US;
    world.run_until(until_us);
    control.iter().for_each(|at| world.start_control(*at));
    (0..DATA_NODES).for_each(|at| world.start_data(at));
}

fn assert_serves(world: &mut World, seed: u64) {
    let until_us = world.now_us + RECOVERED_US;
    world.run_until(until_us);
    assert!(world.has_full_service(), "seed {seed}: data nodes did not find the controller");
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
