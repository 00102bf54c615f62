//! Control machines without a disk, which are no members, as the only seeds of all others.

use postbarrow_simulation::World;

const SEEDS: u64 = 4;
const FORMED_US: u64 = 6_000_000;
/// Every bound of the core and of the data nodes together, and a margin.
const RECOVERED_US: u64 = 8_000_000;
/// Longer than any frame is under way.
const DOWN_US: u64 = 1_000_000;
const DATA_NODES: usize = 4;

/// A fleet in full service with three guests, which are the seeds of whoever starts from now on.
fn led_by_guests(seed: u64) -> (World, Vec<usize>) {
    let mut world = World::new(seed, DATA_NODES, 6);
    world.run_until(FORMED_US);
    let guests: Vec<usize> = (0..3).map(|_| world.add_guest()).collect();
    world.run_until(2 * FORMED_US);
    assert!(world.is_well(), "seed {seed}: no service before the seeds turn over");
    world.core_seeds_only = true;
    world.seeds = guests.iter().map(|at| world.control[*at].address).collect();
    (world, guests)
}

/// These control machines and all data nodes end, and begin anew when nothing is under way to them.
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
    assert!(world.is_well(), "seed {seed}: data nodes did not find the controller");
    assert_eq!(world.ledger.violations, Vec::<String>::new(), "seed {seed}");
}

#[test]
fn data_nodes_that_know_only_guests_find_the_controller() {
    for seed in 0..SEEDS {
        let (mut world, _) = led_by_guests(seed);
        restart(&mut world, &[]);
        assert_serves(&mut world, seed);
    }
}

#[test]
fn all_begin_anew_with_guests_for_seeds() {
    for seed in 0..SEEDS {
        let (mut world, guests) = led_by_guests(seed);
        let all: Vec<usize> = (0..3).chain(guests).collect();
        restart(&mut world, &all);
        assert_serves(&mut world, seed);
    }
}

#[test]
fn guests_that_begin_anew_later_and_know_only_each_other_are_found_by_the_members() {
    for seed in 0..SEEDS {
        let (mut world, guests) = led_by_guests(seed);
        restart(&mut world, &[0, 1, 2]);
        assert_serves(&mut world, seed);
        restart(&mut world, &guests);
        assert_serves(&mut world, seed);
    }
}
