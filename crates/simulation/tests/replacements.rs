//! Clusters whose control machines are replaced, and in which the next machines, with the leader
//! among them, are lost as soon as that must be tolerated.

use postbarrow_simulation::Replacement;

const DEFAULT: Replacement = Replacement {
    seed: 0,
    losses: 1,
    planned: false,
    leader: false,
    new_machine_is_lost: false,
    seeds_are_replaced: false,
    rounds: 2,
};
/// The time within which another machine must lead after the loss of the leader: two elections.
const NEW_LEADER_MS: u64 = 2_000;

/// Runs the replacement; asserts that it has no violations, that another machine leads in time, and
/// that the new machines vote within three quarters of the time to catch up.
fn check(name: &str, replacement: Replacement) {
    let outcome = replacement.run();
    let times = &outcome.vote_ms;
    println!(
        "{name}: {replacement:?}: new machines voted after {times:?} ms, another led after {} ms",
        outcome.leader_ms
    );
    assert!(
        outcome.result.violations.is_empty(),
        "{name}, {replacement:?}: violations: {:#?}",
        outcome.result.violations
    );
    assert!(
        outcome.leader_ms <= NEW_LEADER_MS,
        "{name}, {replacement:?}: another machine led after {} ms",
        outcome.leader_ms
    );
    let late = times.iter().filter(|ms| **ms > replacement.catch_up_ms() * 3 / 4);
    assert_eq!(late.count(), 0, "{name}, {replacement:?}: new machines voted after {times:?} ms");
}

#[test]
fn consecutive_unplanned_replacements_break_no_guarantee() {
    for (seed, leader) in [(1, false), (2, true)] {
        check("unplanned", Replacement { seed, leader, ..DEFAULT });
    }
}

#[test]
fn consecutive_planned_replacements_break_no_guarantee() {
    for (seed, leader) in [(1, false), (2, true)] {
        check("planned", Replacement { seed, leader, planned: true, ..DEFAULT });
    }
}

#[test]
fn a_group_of_five_tolerates_two_losses_at_once() {
    check("group of five", Replacement { seed: 2, leader: true, losses: 2, ..DEFAULT });
}

#[test]
fn planned_replacements_in_a_group_of_five_break_no_guarantee() {
    let planned = Replacement { seed: 2, leader: true, losses: 2, planned: true, ..DEFAULT };
    check("group of five, planned", Replacement { rounds: 1, ..planned });
}

#[test]
fn a_new_machine_joins_although_all_its_seeds_are_replaced() {
    let planned = Replacement { seed: 2, leader: true, planned: true, ..DEFAULT };
    check("seeds replaced", Replacement { seeds_are_replaced: true, ..planned });
}

#[test]
fn a_new_machine_that_is_lost_while_it_joins_is_replaced() {
    for (seed, planned) in [(1, false), (2, true)] {
        let replacement =
            Replacement { seed, planned, new_machine_is_lost: true, rounds: 2, ..DEFAULT };
        check("new machine lost", replacement);
    }
}
