//! Every order of events of calls that are forwarded to the controller; see docs/notes/search.md.

use postbarrow_simulation::search::{Bounds, ForwardedCall, ForwardedCalls, NUMBER, search};
use postbarrow_state::{Call, Key, Name, Record};

const BOUNDS: Bounds = Bounds { depth: 60, states: 600_000 };
const TTL_MS: u64 = 1_000;
/// Key seeds of two incarnations of a process, as the system draws them.
const FIRST_INCARNATION: u64 = 0x9e37_79b9_7f4a_7c15;
const SECOND_INCARNATION: u64 = 0x2545_f491_4f6c_dd1d;

fn covers(name: &str, model: &ForwardedCalls) {
    let started = std::time::Instant::now();
    match search(model, BOUNDS) {
        Ok(covered) => {
            println!("{name}: {covered:?}, took {:?}", started.elapsed());
            assert!(covered.complete, "{name}: a bound cut the search short: {covered:?}");
        }
        Err(found) => panic!("{name}: {}\n{:#?}", found.violation, found.path),
    }
}

fn source(client: usize, id: Option<&str>, call: Call) -> ForwardedCall {
    ForwardedCall { client, incarnation: FIRST_INCARNATION, id: id.map(Name::from), call }
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

fn faulty(calls: Vec<ForwardedCall>) -> ForwardedCalls {
    ForwardedCalls { calls, losses: 1, ticks: 2, elects: true, ..ForwardedCalls::default() }
}

#[test]
fn a_lock_reported_as_locked_by_another_is_not_acquired_later() {
    let model = ForwardedCalls {
        before: vec![locked("other", 1)],
        meanwhile: vec![Record::LockFreed { name: "lock".into() }],
        ..faulty(vec![source(0, Some("start-1"), lock("one"))])
    };
    covers("a lock of another owner", &model);
}

#[test]
fn a_freed_lock_is_not_acquired_again_by_a_delayed_duplicate() {
    let model = ForwardedCalls {
        meanwhile: vec![Record::LockFreed { name: "lock".into() }],
        ..faulty(vec![source(0, Some("start-1"), lock("one"))])
    };
    covers("a freed lock", &model);
}

#[test]
fn two_callers_of_one_lock_never_own_it_at_once() {
    let calls =
        vec![source(0, Some("start-1"), lock("one")), source(1, Some("start-2"), lock("two"))];
    covers("two owners", &ForwardedCalls { losses: 0, ticks: 1, ..faulty(calls) });
}

#[test]
fn a_put_reported_as_refused_takes_no_effect_later() {
    let model = ForwardedCalls {
        before: vec![key(9, 1)],
        meanwhile: vec![Record::Key { name: "k".into(), key: None }],
        ..faulty(vec![source(0, Some("put-1"), put(1, 0))])
    };
    covers("a refused put", &model);
}

#[test]
fn a_call_refused_by_a_full_log_takes_no_effect_later() {
    let model = ForwardedCalls { full: true, ..faulty(vec![source(0, None, next())]) };
    covers("a full log", &model);
}

#[test]
fn two_callers_of_one_number_get_distinct_rising_values() {
    covers("numbers, one leader", &ForwardedCalls { elects: false, ..two_numbers() });
    covers("numbers, two leaders", &ForwardedCalls { ticks: 0, ..two_numbers() });
}

fn two_numbers() -> ForwardedCalls {
    let calls = vec![source(0, None, next()), source(1, None, next())];
    ForwardedCalls { losses: 0, ticks: 1, ..faulty(calls) }
}

/// `cargo test -p postbarrow-simulation --test forwarded -- --ignored`
#[test]
#[ignore = "a wider search of about a minute, beyond the everyday one above"]
fn two_callers_of_one_number_and_two_leaders_with_repeats() {
    covers("numbers, two leaders with repeats", &two_numbers());
}

fn calls_across_a_restart(incarnation: u64) -> ForwardedCalls {
    let later = ForwardedCall { incarnation, ..source(0, Some("put-1"), put(1, 0)) };
    ForwardedCalls { ticks: 0, ..faulty(vec![source(0, None, next()), later]) }
}

#[test]
fn a_response_to_an_earlier_incarnation_reaches_no_caller() {
    covers("two incarnations", &calls_across_a_restart(SECOND_INCARNATION));
}

#[test]
fn equal_keys_of_two_incarnations_would_deliver_a_response_to_another_caller() {
    let found = search(&calls_across_a_restart(FIRST_INCARNATION), BOUNDS)
        .expect_err("it is within the bounds");
    println!("{}: {:?}", found.violation, found.path);
    assert!(found.violation.0.contains("not its own"), "{}", found.violation);
}

#[test]
fn without_a_call_id_a_delayed_duplicate_would_acquire_the_lock_again() {
    let model = ForwardedCalls {
        meanwhile: vec![Record::LockFreed { name: "lock".into() }],
        ..faulty(vec![source(0, None, lock("one"))])
    };
    let found = search(&model, BOUNDS).expect_err("it is within the bounds");
    println!("{}: {:?}", found.violation, found.path);
    assert!(found.violation.0.contains("done as"), "{}", found.violation);
}
