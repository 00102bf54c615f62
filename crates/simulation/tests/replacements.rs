//! Clusters whose control machines are replaced, and the next loss as soon as it must be tolerated.

use postbarrow_simulation::Replacement;

const PLAIN: Replacement = Replacement {
    seed: 0,
    losses: 1,
    planned: false,
    leader: false,
    newcomer_dies: false,
    seeds_depart: false,
    rounds: 2,
};
/// Another machine leads within this time after the loss of the leader: two elections.
const LEADER_MS: u64 = 2_000;

fn check(name: &str, replacement: Replacement) {
    let replacement_result = replacement.run();
    let times = &replacement_result.vote_ms;
    println!(
        "{name}: {replacement:?}: votes {times:?} ms, led again after {} ms",
        replacement_result.leader_ms
    );
    assert!(
        replacement_result.result.violations.is_empty(),
        "{name}, {replacement:?}: {:#?}",
        replacement_result.result.violations
    );
    assert!(
        replacement_result.leader_ms <= LEADER_MS,
        "{name}, {replacement:?}: {}",
        replacement_result.leader_ms
    );
    let late = times.iter().filter(|ms| **ms > replacement.catch_up_ms() * 3 / 4);
    assert_eq!(late.count(), 0, "{name}, {replacement:?}: votes after {times:?} ms");
}

#[test]
fn unplanned_replacements_back_to_back() {
    for (seed, leader) in [(1, false), (2, true)] {
        check("unplanned", Replacement { seed, leader, ..PLAIN });
    }
}

#[test]
fn planned_replacements_back_to_back() {
    for (seed, leader) in [(1, false), (2, true)] {
        check("planned", Replacement { seed, leader, planned: true, ..PLAIN });
    }
}

#[test]
fn two_losses_at_once_in_a_group_of_five() {
    check("grown", Replacement { seed: 2, leader: true, losses: 2, ..PLAIN });
}

#[test]
fn planned_replacements_in_a_group_of_five() {
    let planned = Replacement { seed: 2, leader: true, losses: 2, planned: true, ..PLAIN };
    check("grown, planned", Replacement { rounds: 1, ..planned });
}

#[test]
fn a_newcomer_joins_though_all_its_seeds_depart() {
    let planned = Replacement { seed: 2, leader: true, planned: true, ..PLAIN };
    check("seeds go", Replacement { seeds_depart: true, ..planned });
}

#[test]
fn a_newcomer_that_dies_while_it_joins_is_replaced() {
    for (seed, planned) in [(1, false), (2, true)] {
        let dies = Replacement { seed, planned, newcomer_dies: true, rounds: 2, ..PLAIN };
        check("newcomer dies", dies);
    }
}
