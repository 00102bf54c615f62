//! Tests of the retained accepted plans: a plan is added only when its transaction ends, their
//! number is bounded, each is the base of the next, and there are none in a state stored by an
//! older release.

use postbarrow_constants::plans::{ACCEPTED_PLANS_MAX, REFUSED_PLANS_MAX};
use postbarrow_state::*;
use postbarrow_transactions::{BatchRecord, Image, Tail};

fn accepted(version: &str, base: Option<&str>) -> Record {
    let base = base.map(Name::from);
    Record::PlanAccepted { version: version.into(), base, digest: [7; 32], began_at: 1 }
}

fn start(version: &str, base: Option<&str>) -> Record {
    Record::PlanStart { version: version.into(), base: base.map(Name::from) }
}

/// Returns a state in which this many plans were accepted, each on the one before.
fn plan_chain(count: usize) -> State {
    let mut state = State::default();
    for number in 0..count {
        let base = number.checked_sub(1).map(|previous| format!("v{previous}"));
        state.apply(number as u64 + 1, &start(&format!("v{number}"), base.as_deref()));
        state.apply(number as u64 + 1, &accepted(&format!("v{number}"), base.as_deref()));
    }
    state
}

#[test]
fn aborted_plan_is_neither_accepted_nor_in_force() {
    let mut tail = Tail::new(0, plan_chain(1));
    let initial = tail.image().as_ref().clone();
    let batch = [
        BatchRecord::begin("plan"),
        BatchRecord::Data(start("v1", Some("v0"))),
        BatchRecord::Data(accepted("v1", Some("v0"))),
    ];
    tail.apply(2, &batch).unwrap();
    assert!(tail.pending_image().unwrap().accepted_plan("v1").is_some());
    tail.apply(3, &[BatchRecord::abort("no")]).unwrap();
    assert_eq!(*tail.image().as_ref(), initial);
}

#[test]
fn retained_plans_are_bounded_and_the_oldest_is_removed_first() {
    let state = plan_chain(ACCEPTED_PLANS_MAX);
    assert!(state.has_complete_plan_history() && state.accepted_plan("v0").is_some());
    let state = plan_chain(ACCEPTED_PLANS_MAX + 1);
    assert_eq!(state.accepted_plans.len(), ACCEPTED_PLANS_MAX);
    assert!(state.accepted_plan("v0").is_none() && state.accepted_plan("v1").is_some());
    assert!(!state.has_complete_plan_history());
    let mut state = State::default();
    for number in 0..=REFUSED_PLANS_MAX {
        let refused = RefusedPlan { version: format!("v{number}").into(), digest: [1; 32] };
        state.apply(1, &Record::PlanRefused(refused));
    }
    assert_eq!(state.refused_plans.len(), REFUSED_PLANS_MAX);
    assert!(!state.is_refused("v0", &[1; 32]) && state.is_refused("v1", &[1; 32]));
    assert!(!state.is_refused("v1", &[2; 32]));
}

#[test]
fn plan_on_an_unknown_base_removes_the_plans_before_it() {
    let mut state = plan_chain(3);
    state.apply(9, &start("v9", Some("v8")));
    state.apply(9, &accepted("v9", Some("v8")));
    assert_eq!(state.accepted_plans.len(), 1);
    assert!(!state.has_complete_plan_history());
}

#[test]
fn history_is_incomplete_while_the_plan_in_force_is_not_retained() {
    let mut state = State::default();
    assert!(state.has_complete_plan_history());
    state.apply(1, &start("v1", None));
    assert!(!state.has_complete_plan_history());
}

#[test]
fn routing_view_has_no_accepted_plans() {
    assert!(!accepted("v1", None).is_routing_update());
    let refused = RefusedPlan { version: "v1".into(), digest: [1; 32] };
    assert!(!Record::PlanRefused(refused).is_routing_update());
    assert!(plan_chain(2).routing_view().accepted_plans.is_empty());
}

#[test]
fn state_stored_without_accepted_plans_is_decoded_with_none() {
    let mut state = plan_chain(1);
    state.accepted_plans.clear();
    let mut old_bytes = rmp_serde::to_vec(&state).unwrap();
    assert_eq!(old_bytes[0], 0xdc, "an array with a length field of two bytes");
    assert_eq!(old_bytes[old_bytes.len() - 2..], [0x90, 0x90], "two empty arrays at the end");
    old_bytes.truncate(old_bytes.len() - 2);
    old_bytes[2] -= 2;
    let decoded: State = rmp_serde::from_slice(&old_bytes).unwrap();
    assert_eq!(decoded, state);
    assert!(!decoded.has_complete_plan_history());
}

#[test]
fn state_with_accepted_plans_is_decoded_as_stored() {
    let mut state = plan_chain(3);
    state.apply(9, &Record::PlanRefused(RefusedPlan { version: "x".into(), digest: [200; 32] }));
    let decoded: State = rmp_serde::from_slice(&rmp_serde::to_vec(&state).unwrap()).unwrap();
    assert_eq!(decoded, state);
}
