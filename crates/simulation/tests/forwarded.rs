//! Every order of events of calls that are forwarded to the controller; see docs/notes/search.md.

use postbarrow_simulation::search::{Bounds, ForwardedCalls, NUMBER, Question, search};
use postbarrow_state::{Call, Key, Name, Record};

const BOUNDS: Bounds = Bounds { depth: 60, states: 600_000 };
const TTL_MS: u64 = 1_000;
/// Two lives of a process, as the system draws them.
const FIRST_LIFE: u64 = 0x9e37_79b9_7f4a_7c15;
const SECOND_LIFE: u64 = 0x2545_f491_4f6c_dd1d;

fn covers(name: &str, model: &ForwardedCalls) {
    let started = std::time::Instant::now();
    match search(model, BOUNDS) {
        Ok(covered) => {
            println!("{name}: {covered:?}, took {:?}", started.elapsed());
            assert!(covered.complete, "{name}: a bound cut the search short: {covered:?}");
        }
        Err(found) => panic!("{name}: {}\n{:#?}", found.broken, found.path),
    }
}

fn question(client: usize, id: Option<&str>, call: Call) -> Question {
    Question { client, life: FIRST_LIFE, id: id.map(Name::from), call }
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

fn faulty(questions: Vec<Question>) -> ForwardedCalls {
    ForwardedCalls { questions, losses: 1, ticks: 2, elects: true, ..ForwardedCalls::default() }
}

#[test]
fn a_lock_that_is_told_as_held_is_not_taken_later() {
    let model = ForwardedCalls {
        before: vec![locked("other", 1)],
        meanwhile: vec![Record::LockFreed { name: "lock".into() }],
        ..faulty(vec![question(0, Some("start-1"), lock("one"))])
    };
    covers("a held lock", &model);
}

#[test]
fn a_lock_that_ends_is_not_taken_again_by_a_late_copy() {
    let model = ForwardedCalls {
        meanwhile: vec![Record::LockFreed { name: "lock".into() }],
        ..faulty(vec![question(0, Some("start-1"), lock("one"))])
    };
    covers("a lock that ends", &model);
}

#[test]
fn two_callers_of_one_lock() {
    let questions =
        vec![question(0, Some("start-1"), lock("one")), question(1, Some("start-2"), lock("two"))];
    covers("two holders", &ForwardedCalls { losses: 0, ticks: 1, ..faulty(questions) });
}

#[test]
fn a_put_that_is_told_as_refused_is_not_done_later() {
    let model = ForwardedCalls {
        before: vec![key(9, 1)],
        meanwhile: vec![Record::Key { name: "k".into(), key: None }],
        ..faulty(vec![question(0, Some("put-1"), put(1, 0))])
    };
    covers("a refused put", &model);
}

#[test]
fn a_call_that_is_told_of_a_full_log_is_not_done_later() {
    let model = ForwardedCalls { full: true, ..faulty(vec![question(0, None, next())]) };
    covers("a full log", &model);
}

#[test]
fn two_callers_of_one_number_get_numbers_of_their_own_that_rise() {
    covers("numbers, one leader", &ForwardedCalls { elects: false, ..two_numbers() });
    covers("numbers, two leaders", &ForwardedCalls { ticks: 0, ..two_numbers() });
}

fn two_numbers() -> ForwardedCalls {
    let questions = vec![question(0, None, next()), question(1, None, next())];
    ForwardedCalls { losses: 0, ticks: 1, ..faulty(questions) }
}

/// `cargo test -p postbarrow-simulation --test forwarded -- --ignored`
#[test]
#[ignore = "a wider search of about a minute, beyond the everyday one above"]
fn two_callers_of_one_number_and_two_leaders_with_repeats() {
    covers("numbers, two leaders with repeats", &two_numbers());
}

fn over_a_restart(life: u64) -> ForwardedCalls {
    let later = Question { life, ..question(0, Some("put-1"), put(1, 0)) };
    ForwardedCalls { ticks: 0, ..faulty(vec![question(0, None, next()), later]) }
}

#[test]
fn an_answer_to_an_earlier_life_finds_nobody() {
    covers("two lives", &over_a_restart(SECOND_LIFE));
}

#[test]
fn were_keys_of_two_lives_the_same_an_answer_would_find_another_caller() {
    let found = search(&over_a_restart(FIRST_LIFE), BOUNDS).expect_err("it is within the bounds");
    println!("{}: {:?}", found.broken, found.path);
    assert!(found.broken.contains("not its own"), "{}", found.broken);
}

#[test]
fn were_a_start_without_a_name_of_its_own_a_late_copy_would_take_the_lock_again() {
    let model = ForwardedCalls {
        meanwhile: vec![Record::LockFreed { name: "lock".into() }],
        ..faulty(vec![question(0, None, lock("one"))])
    };
    let found = search(&model, BOUNDS).expect_err("it is within the bounds");
    println!("{}: {:?}", found.broken, found.path);
    assert!(found.broken.contains("done as"), "{}", found.broken);
}
