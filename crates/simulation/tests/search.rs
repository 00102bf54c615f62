//! Every order of events within the models' bounds; see docs/notes/search.md.

use postbarrow_simulation::search::{Bounds, Covered, Faults, Kind, Model, Requests, search};

const BOUNDS: Bounds = Bounds { depth: 60, states: 600_000 };
/// For the searches that are run manually.
const WIDE: Bounds = Bounds { depth: 60, states: 2_000_000 };

fn covers<M: Model>(name: &str, model: &M) -> Covered {
    covers_within(BOUNDS, name, model)
}

fn covers_within<M: Model>(bounds: Bounds, name: &str, model: &M) -> Covered {
    let started = std::time::Instant::now();
    match search(model, bounds) {
        Ok(covered) => {
            assert!(covered.complete, "{name}: a bound cut the search short: {covered:?}");
            println!("{name}: {covered:?}, took {:?}", started.elapsed());
            covered
        }
        Err(found) => panic!("{name}: {}\n{:#?}", found.violation, found.path),
    }
}

/// Events from the initial state to a one-time request that ran and was reported as not run.
const SHORTEST_PATH_TO_A_FALSE_REFUSAL: usize = 11;
const NONE: Faults =
    Faults { strays: 0, closes: 0, replaces: 0, freezes: false, departures: false };
const BOTH_ONE_TIME: [Kind; 2] = [Kind::OneTime, Kind::OneTime];
const MIXED: [Kind; 2] = [Kind::OneTime, Kind::Lookup];

#[test]
fn a_second_response_or_garbage_breaks_no_guarantee() {
    for kinds in [BOTH_ONE_TIME, MIXED] {
        covers("strays", &Requests::new(kinds, false, Faults { strays: 1, ..NONE }));
    }
}

#[test]
fn a_reset_before_during_or_after_a_response_breaks_no_guarantee() {
    covers("closes", &Requests::new(MIXED, false, Faults { closes: 1, ..NONE }));
}

#[test]
fn a_target_replaced_under_its_address_breaks_no_guarantee() {
    covers("replaces", &Requests::new(MIXED, false, Faults { replaces: 1, ..NONE }));
}

#[test]
fn a_frozen_node_breaks_no_guarantee() {
    covers("freezes", &Requests::new(MIXED, false, Faults { freezes: true, ..NONE }));
}

#[test]
fn tickets_of_the_log_hold_for_a_frozen_node() {
    covers("tickets, freezes", &Requests::new(MIXED, true, Faults { freezes: true, ..NONE }));
}

#[test]
fn tickets_of_the_log_hold_for_a_reset() {
    covers("tickets, closes", &Requests::new(MIXED, true, Faults { closes: 1, ..NONE }));
}

#[test]
fn tickets_of_the_log_hold_for_a_replaced_target() {
    covers("tickets, replaces", &Requests::new(MIXED, true, Faults { replaces: 1, ..NONE }));
}

#[test]
fn clients_that_depart_at_any_time_break_no_guarantee() {
    let departures = Faults { departures: true, ..NONE };
    covers("leaves", &Requests::new(MIXED, false, departures));
    covers("leaves and closes", &Requests::new(MIXED, false, Faults { closes: 1, ..departures }));
}

#[test]
fn tickets_of_the_log_hold_for_departing_clients() {
    let departures = Faults { departures: true, ..NONE };
    covers("tickets, leaves", &Requests::new(MIXED, true, departures));
}

#[test]
fn without_a_last_client_check_a_request_is_sent_after_its_client_departed() {
    let blind = Requests::new(MIXED, false, Faults { departures: true, ..NONE });
    let found = search(&blind.without_client_check(), BOUNDS);
    let found = found.expect_err("the fault is within the bounds");
    assert!(
        found.violation.0.contains("was sent after its client had departed"),
        "{}",
        found.violation
    );
}

/// `cargo test -p postbarrow-simulation --test search -- --ignored`
#[test]
#[ignore = "four wider searches of a minute in all, beyond the everyday ones above"]
fn two_faults_at_once_break_no_guarantee() {
    let faults = Faults { strays: 1, closes: 1, ..NONE };
    covers_within(WIDE, "strays and closes", &Requests::new(MIXED, false, faults));
    let faults = Faults { closes: 1, replaces: 1, ..NONE };
    covers_within(
        WIDE,
        "tickets, closes and replaces",
        &Requests::new(BOTH_ONE_TIME, true, faults),
    );
    let faults = Faults { closes: 1, departures: true, ..NONE };
    covers_within(WIDE, "tickets, closes and leaves", &Requests::new(MIXED, true, faults));
    let faults = Faults { freezes: true, departures: true, ..NONE };
    covers_within(WIDE, "freezes and leaves", &Requests::new(MIXED, false, faults));
}

#[test]
fn accepting_an_unnamed_refusal_on_a_reused_connection_lets_a_request_run_twice() {
    let believing = Requests::new(BOTH_ONE_TIME, false, Faults { strays: 1, ..NONE });
    let found = search(&believing.accepting_unnamed_refusals(), BOUNDS);
    let found = found.expect_err("the fault is within the bounds");
    assert!(found.violation.0.contains("reported as 'not run' and ran"), "{}", found.violation);
    assert_eq!(found.path.len(), SHORTEST_PATH_TO_A_FALSE_REFUSAL, "{:?}", found.path);
}
