//! Exhaustive searches over every order of events of calls that are forwarded to the controller;
//! see docs/notes/search.md.

use postbarrow_simulation::search::{
    Bounds, DepartingCaller, ForwardedCall, ForwardedCalls, NUMBER, search,
};
use postbarrow_state::{Call, Key, Name, Record};

const BOUNDS: Bounds = Bounds { depth: 60, states: 600_000 };
const TTL_MS: u64 = 1_000;
/// Key seeds of two incarnations of a process; the programs draw theirs at random.
const FIRST_KEY_SEED: u64 = 0x9e37_79b9_7f4a_7c15;
const SECOND_KEY_SEED: u64 = 0x2545_f491_4f6c_dd1d;

/// Asserts that the model violates no invariant and that the search is complete.
fn assert_no_violation(name: &str, model: &ForwardedCalls) {
    let started = std::time::Instant::now();
    match search(model, BOUNDS) {
        Ok(coverage) => {
            println!("{name}: {coverage:?}, took {:?}", started.elapsed());
            assert!(coverage.complete, "{name}: a bound ended the search early: {coverage:?}");
        }
        Err(found) => panic!("{name}: {}, by the events\n{:#?}", found.violation, found.path),
    }
}

fn forwarded_call(client: usize, id: Option<&str>, call: Call) -> ForwardedCall {
    ForwardedCall { client, key_seed: FIRST_KEY_SEED, id: id.map(Name::from), call }
}

fn lock(holder: &str) -> Call {
    Call::Lock { name: "lock".into(), holder: holder.into(), ttl_ms: TTL_MS }
}

fn locked(holder: &str, fence: u64) -> Record {
    Record::Lock { name: "lock".into(), holder: holder.into(), fence, ttl_ms: TTL_MS }
}

fn put(value: u8, revision: u64) -> Call {
    Call::Put { name: "k".into(), value: vec![value], revision: Some(revision) }
}

fn key(value: u8, revision: u64) -> Record {
    Record::Key { name: "k".into(), key: Some(Key { value: vec![value], revision }) }
}

fn next() -> Call {
    Call::Next { name: NUMBER.into(), by: 1 }
}

/// Returns the model of these calls with a lost frame, two retry intervals and an election.
fn with_faults(calls: Vec<ForwardedCall>) -> ForwardedCalls {
    ForwardedCalls {
        calls,
        frame_losses: 1,
        retry_ticks: 2,
        allows_election: true,
        ..ForwardedCalls::default()
    }
}

#[test]
fn a_lock_reported_as_locked_by_another_is_not_acquired_later() {
    let model = ForwardedCalls {
        initial_records: vec![locked("other", 1)],
        concurrent_records: vec![Record::LockFreed { name: "lock".into() }],
        ..with_faults(vec![forwarded_call(0, Some("start-1"), lock("one"))])
    };
    assert_no_violation("a lock of another owner", &model);
}

#[test]
fn a_freed_lock_is_not_acquired_again_by_a_delayed_duplicate() {
    let model = ForwardedCalls {
        concurrent_records: vec![Record::LockFreed { name: "lock".into() }],
        ..with_faults(vec![forwarded_call(0, Some("start-1"), lock("one"))])
    };
    assert_no_violation("a freed lock", &model);
}

#[test]
fn two_callers_of_one_lock_never_own_it_together() {
    let calls = vec![
        forwarded_call(0, Some("start-1"), lock("one")),
        forwarded_call(1, Some("start-2"), lock("two")),
    ];
    assert_no_violation(
        "two owners",
        &ForwardedCalls { frame_losses: 0, retry_ticks: 1, ..with_faults(calls) },
    );
}

#[test]
fn a_put_reported_as_refused_takes_no_effect_later() {
    let model = ForwardedCalls {
        initial_records: vec![key(9, 1)],
        concurrent_records: vec![Record::Key { name: "k".into(), key: None }],
        ..with_faults(vec![forwarded_call(0, Some("put-1"), put(1, 0))])
    };
    assert_no_violation("a refused put", &model);
}

#[test]
fn a_call_refused_by_a_full_log_takes_no_effect_later() {
    let model = ForwardedCalls {
        log_starts_full: true,
        ..with_faults(vec![forwarded_call(0, None, next())])
    };
    assert_no_violation("a full log", &model);
}

#[test]
fn two_callers_of_one_number_get_distinct_increasing_values() {
    assert_no_violation(
        "numbers, one leader",
        &ForwardedCalls { allows_election: false, ..two_numbers() },
    );
    assert_no_violation(
        "numbers, two leaders",
        &ForwardedCalls { retry_ticks: 0, ..two_numbers() },
    );
}

fn two_numbers() -> ForwardedCalls {
    let calls = vec![forwarded_call(0, None, next()), forwarded_call(1, None, next())];
    ForwardedCalls { frame_losses: 0, retry_ticks: 1, ..with_faults(calls) }
}

/// Run by `cargo test -p postbarrow-simulation --test forwarded -- --ignored`.
#[test]
#[ignore = "takes about a minute: a larger search than the other tests"]
fn two_callers_of_one_number_get_distinct_increasing_values_with_two_leaders_and_repeats() {
    assert_no_violation("numbers, two leaders with repeats", &two_numbers());
}

/// Returns the model of a call before a restart, and one after it with this key seed.
fn calls_across_a_restart(key_seed: u64) -> ForwardedCalls {
    let later = ForwardedCall { key_seed, ..forwarded_call(0, Some("put-1"), put(1, 0)) };
    ForwardedCalls { retry_ticks: 0, ..with_faults(vec![forwarded_call(0, None, next()), later]) }
}

#[test]
fn a_response_to_an_earlier_incarnation_is_delivered_to_no_caller() {
    assert_no_violation("two incarnations", &calls_across_a_restart(SECOND_KEY_SEED));
}

#[test]
fn equal_keys_of_two_incarnations_would_deliver_a_response_to_another_caller() {
    let found = search(&calls_across_a_restart(FIRST_KEY_SEED), BOUNDS)
        .expect_err("the search finds the violation within its bounds");
    println!("{}: {:?}", found.violation, found.path);
    assert!(found.violation.0.contains("not its own result"), "{}", found.violation);
}

#[test]
fn without_a_call_id_a_delayed_duplicate_would_acquire_the_lock_again() {
    let model = ForwardedCalls {
        concurrent_records: vec![Record::LockFreed { name: "lock".into() }],
        ..with_faults(vec![forwarded_call(0, None, lock("one"))])
    };
    let found =
        search(&model, BOUNDS).expect_err("the search finds the violation within its bounds");
    println!("{}: {:?}", found.violation, found.path);
    assert!(found.violation.0.contains("took effect several times"), "{}", found.violation);
}

/// Returns the model of a lock's owner that departs during the release at the first member, and
/// starts the lock again through the second one.
fn release_and_later_start() -> ForwardedCalls {
    let release = Call::Free { name: "lock".into(), holder: "one".into(), fence: 1 };
    ForwardedCalls {
        initial_records: vec![locked("one", 1)],
        departing_caller: Some(DepartingCaller { release: 0, start: 1 }),
        frame_losses: 0,
        ..with_faults(vec![
            forwarded_call(0, None, release),
            forwarded_call(1, Some("start-2"), lock("one")),
        ])
    }
}

/// Guards against two owners of one lock: a release that a suspended process or leader executes
/// late, or that is sent again to a new leader, ends a hold that its caller got again meanwhile.
#[test]
fn a_late_release_does_not_end_the_hold_of_a_later_start() {
    assert_no_violation(
        "a late release, one leader",
        &ForwardedCalls { allows_election: false, ..release_and_later_start() },
    );
    assert_no_violation(
        "a late release, two leaders",
        &ForwardedCalls { retry_ticks: 1, ..release_and_later_start() },
    );
}

#[test]
fn without_grant_versions_a_late_release_would_end_the_hold_of_a_later_start() {
    let model = ForwardedCalls { ignores_grant_versions: true, ..release_and_later_start() };
    let found =
        search(&model, BOUNDS).expect_err("the search finds the violation within its bounds");
    println!("{}: {:?}", found.violation, found.path);
    assert!(found.violation.0.contains("late release"), "{}", found.violation);
}
