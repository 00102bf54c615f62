//! Exhaustive searches over every order of events of two requests through one node, within bounds;
//! see docs/notes/search.md.

use postbarrow_simulation::search::{Bounds, Coverage, Faults, Kind, Model, Requests, search};

const BOUNDS: Bounds = Bounds { depth: 60, states: 600_000 };
/// The bounds of the ignored searches, which are run manually.
const WIDE_BOUNDS: Bounds = Bounds { depth: 60, states: 2_000_000 };

/// Asserts that the model violates no invariant and that the search is complete.
fn assert_no_violation<M: Model>(name: &str, model: &M) -> Coverage {
    assert_no_violation_within(BOUNDS, name, model)
}

fn assert_no_violation_within<M: Model>(bounds: Bounds, name: &str, model: &M) -> Coverage {
    let started = std::time::Instant::now();
    match search(model, bounds) {
        Ok(coverage) => {
            assert!(coverage.complete, "{name}: a bound ended the search early: {coverage:?}");
            println!("{name}: {coverage:?}, took {:?}", started.elapsed());
            coverage
        }
        Err(found) => panic!("{name}: {}, by the events\n{:#?}", found.violation, found.path),
    }
}

/// Number of events from the initial state to a one-time request that ran and was reported as not
/// run.
const EVENTS_TO_A_FALSE_REFUSAL: usize = 11;
const NO_FAULTS: Faults = Faults {
    stray_responses: 0,
    closed_connections: 0,
    replaced_targets: 0,
    freezes: false,
    departures: false,
};
const BOTH_ONE_TIME: [Kind; 2] = [Kind::OneTime, Kind::OneTime];
const ONE_TIME_AND_LOOKUP: [Kind; 2] = [Kind::OneTime, Kind::Lookup];

#[test]
fn a_second_response_or_garbage_breaks_no_guarantee() {
    for kinds in [BOTH_ONE_TIME, ONE_TIME_AND_LOOKUP] {
        assert_no_violation(
            "stray responses",
            &Requests::new(kinds, false, Faults { stray_responses: 1, ..NO_FAULTS }),
        );
    }
}

#[test]
fn a_reset_before_during_or_after_a_response_breaks_no_guarantee() {
    assert_no_violation(
        "closed connections",
        &Requests::new(ONE_TIME_AND_LOOKUP, false, Faults { closed_connections: 1, ..NO_FAULTS }),
    );
}

#[test]
fn a_target_replaced_under_its_address_breaks_no_guarantee() {
    assert_no_violation(
        "replaced targets",
        &Requests::new(ONE_TIME_AND_LOOKUP, false, Faults { replaced_targets: 1, ..NO_FAULTS }),
    );
}

#[test]
fn a_frozen_node_breaks_no_guarantee() {
    assert_no_violation(
        "freezes",
        &Requests::new(ONE_TIME_AND_LOOKUP, false, Faults { freezes: true, ..NO_FAULTS }),
    );
}

#[test]
fn log_tickets_break_no_guarantee_with_a_frozen_node() {
    assert_no_violation(
        "tickets, freezes",
        &Requests::new(ONE_TIME_AND_LOOKUP, true, Faults { freezes: true, ..NO_FAULTS }),
    );
}

#[test]
fn log_tickets_break_no_guarantee_with_a_reset() {
    assert_no_violation(
        "tickets, closed connections",
        &Requests::new(ONE_TIME_AND_LOOKUP, true, Faults { closed_connections: 1, ..NO_FAULTS }),
    );
}

#[test]
fn log_tickets_break_no_guarantee_with_a_replaced_target() {
    assert_no_violation(
        "tickets, replaced targets",
        &Requests::new(ONE_TIME_AND_LOOKUP, true, Faults { replaced_targets: 1, ..NO_FAULTS }),
    );
}

#[test]
fn clients_that_depart_at_any_time_break_no_guarantee() {
    let departures = Faults { departures: true, ..NO_FAULTS };
    assert_no_violation("departures", &Requests::new(ONE_TIME_AND_LOOKUP, false, departures));
    assert_no_violation(
        "departures and closed connections",
        &Requests::new(ONE_TIME_AND_LOOKUP, false, Faults { closed_connections: 1, ..departures }),
    );
}

#[test]
fn log_tickets_break_no_guarantee_with_departing_clients() {
    let departures = Faults { departures: true, ..NO_FAULTS };
    assert_no_violation(
        "tickets, departures",
        &Requests::new(ONE_TIME_AND_LOOKUP, true, departures),
    );
}

#[test]
fn without_a_last_client_check_a_request_is_sent_after_its_client_departed() {
    let model = Requests::new(ONE_TIME_AND_LOOKUP, false, Faults { departures: true, ..NO_FAULTS });
    let found = search(&model.without_client_check(), BOUNDS);
    let found = found.expect_err("the search finds the violation within its bounds");
    assert!(
        found.violation.0.contains("was sent after its client had departed"),
        "{}",
        found.violation
    );
}

/// Run by `cargo test -p postbarrow-simulation --test search -- --ignored`.
#[test]
#[ignore = "takes about a minute: four searches with wider bounds than the other tests"]
fn two_faults_at_once_break_no_guarantee() {
    let faults = Faults { stray_responses: 1, closed_connections: 1, ..NO_FAULTS };
    assert_no_violation_within(
        WIDE_BOUNDS,
        "stray responses and closed connections",
        &Requests::new(ONE_TIME_AND_LOOKUP, false, faults),
    );
    let faults = Faults { closed_connections: 1, replaced_targets: 1, ..NO_FAULTS };
    assert_no_violation_within(
        WIDE_BOUNDS,
        "tickets, closed connections and replaced targets",
        &Requests::new(BOTH_ONE_TIME, true, faults),
    );
    let faults = Faults { closed_connections: 1, departures: true, ..NO_FAULTS };
    assert_no_violation_within(
        WIDE_BOUNDS,
        "tickets, closed connections and departures",
        &Requests::new(ONE_TIME_AND_LOOKUP, true, faults),
    );
    let faults = Faults { freezes: true, departures: true, ..NO_FAULTS };
    assert_no_violation_within(
        WIDE_BOUNDS,
        "freezes and departures",
        &Requests::new(ONE_TIME_AND_LOOKUP, false, faults),
    );
}

#[test]
fn accepting_an_unnamed_refusal_on_a_reused_connection_lets_a_request_run_twice() {
    let model = Requests::new(BOTH_ONE_TIME, false, Faults { stray_responses: 1, ..NO_FAULTS });
    let found = search(&model.accepting_unnamed_refusals(), BOUNDS);
    let found = found.expect_err("the search finds the violation within its bounds");
    assert!(found.violation.0.contains("reported as 'not run' and ran"), "{}", found.violation);
    assert_eq!(found.path.len(), EVENTS_TO_A_FALSE_REFUSAL, "{:?}", found.path);
}
