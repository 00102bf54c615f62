//! Decisions on a submission, which depend on the accepted and refused plans in the state.

use postbarrow_constants::plans::ACCEPTED_PLANS_MAX;
use postbarrow_controller::{RefusalReason, SubmissionDecision, decide_submission};
use postbarrow_messages::Submission;
use postbarrow_state::{Digest, Name, Record, RefusedPlan, State};
use postbarrow_transactions::Image;

const TEXT: Digest = [1; 32];
const OTHER_TEXT: Digest = [2; 32];

/// Returns a state in which this many plans were accepted, each on the one before.
fn plan_chain(count: usize) -> State {
    let mut state = State::default();
    for at in 0..count {
        let (version, offset) = (Name::from(format!("v{at}")), 10 * at as u64);
        let base = at.checked_sub(1).map(|before| Name::from(format!("v{before}")));
        let start = Record::PlanStart { version: version.clone(), base: base.clone() };
        state.apply(offset, &start);
        let accepted = Record::PlanAccepted { version, base, digest: TEXT, began_at: offset };
        state.apply(offset + 5, &accepted);
    }
    state
}

fn submission(version: &str, base: Option<&str>) -> Submission {
    let base = base.map(Name::from);
    let (records, version) = (Vec::new(), version.into());
    Submission { version, base, records, dry_run: false, allow_empty: false }
}

fn accepted(began_at: u64) -> SubmissionDecision {
    SubmissionDecision::AlreadyAccepted { began_at, ended_at: Some(began_at + 5) }
}

fn refused(reason: RefusalReason) -> SubmissionDecision {
    SubmissionDecision::Refused(reason)
}

#[test]
fn a_new_version_on_the_plan_in_force_proceeds() {
    assert_eq!(
        decide_submission(&State::default(), &submission("v0", None), &TEXT),
        SubmissionDecision::Proceed
    );
    assert_eq!(
        decide_submission(&plan_chain(3), &submission("v3", Some("v2")), &TEXT),
        SubmissionDecision::Proceed
    );
}

#[test]
fn an_accepted_plan_is_known_while_in_force_and_when_built_upon() {
    let state = plan_chain(5);
    assert_eq!(decide_submission(&state, &submission("v4", Some("v3")), &TEXT), accepted(40));
    assert_eq!(decide_submission(&state, &submission("v1", Some("v0")), &TEXT), accepted(10));
    assert_eq!(decide_submission(&state, &submission("v0", None), &TEXT), accepted(0));
}

#[test]
fn an_accepted_version_with_another_text_or_base_is_refused() {
    let state = plan_chain(5);
    let other = refused(RefusalReason::OtherText);
    assert_eq!(decide_submission(&state, &submission("v4", Some("v3")), &OTHER_TEXT), other);
    assert_eq!(decide_submission(&state, &submission("v1", Some("v0")), &OTHER_TEXT), other);
    assert_eq!(decide_submission(&state, &submission("v1", Some("v4")), &TEXT), other);
}

#[test]
fn a_superseded_base_is_refused() {
    let state = plan_chain(5);
    let decision = refused(RefusalReason::BaseSuperseded);
    assert_eq!(decide_submission(&state, &submission("x", Some("v2")), &TEXT), decision);
    assert_eq!(decide_submission(&state, &submission("x", None), &TEXT), decision);
}

#[test]
fn a_plan_on_an_unknown_base_stays_refused_once_the_base_is_accepted() {
    let mut state = plan_chain(2);
    let decision = refused(RefusalReason::BaseNeverAccepted);
    assert_eq!(decide_submission(&state, &submission("v3", Some("v2")), &TEXT), decision);
    let refusal = RefusedPlan { version: "v3".into(), digest: TEXT };
    state.apply(30, &Record::PlanRefused(refusal));
    let (version, base) = (Name::from("v2"), Some(Name::from("v1")));
    state.apply(31, &Record::PlanStart { version: version.clone(), base: base.clone() });
    state.apply(31, &Record::PlanAccepted { version, base, digest: TEXT, began_at: 31 });
    let decision = refused(RefusalReason::RefusedBefore);
    assert_eq!(decide_submission(&state, &submission("v3", Some("v2")), &TEXT), decision);
    let decision = SubmissionDecision::Proceed;
    assert_eq!(decide_submission(&state, &submission("v3", Some("v2")), &OTHER_TEXT), decision);
}

#[test]
fn a_plan_that_may_precede_the_retained_plans_is_unknown() {
    let state = plan_chain(ACCEPTED_PLANS_MAX + 3);
    let (first, second) = (submission("v0", None), submission("v1", Some("v0")));
    assert_eq!(decide_submission(&state, &first, &TEXT), SubmissionDecision::Unknown);
    assert_eq!(decide_submission(&state, &second, &TEXT), SubmissionDecision::Unknown);
    assert_eq!(decide_submission(&state, &submission("v3", Some("v2")), &TEXT), accepted(30));
    let decision = refused(RefusalReason::BaseSuperseded);
    assert_eq!(decide_submission(&state, &submission("x", Some("v2")), &TEXT), decision);
}

#[test]
fn a_plan_in_force_that_is_not_retained_is_known_by_its_text() {
    let mut state = State::default();
    state.apply(7, &Record::PlanStart { version: "v5".into(), base: Some("v4".into()) });
    state.apply(7, &Record::PlanText(b"text".to_vec()));
    let digest = postbarrow_controller::text_digest(b"text");
    let decision = SubmissionDecision::AlreadyAccepted { began_at: 7, ended_at: None };
    assert_eq!(decide_submission(&state, &submission("v5", Some("v4")), &digest), decision);
    let decision = refused(RefusalReason::OtherText);
    assert_eq!(decide_submission(&state, &submission("v5", Some("v4")), &TEXT), decision);
    let decision = refused(RefusalReason::BaseSuperseded);
    assert_eq!(decide_submission(&state, &submission("x", Some("v4")), &TEXT), decision);
    let decision = SubmissionDecision::Unknown;
    assert_eq!(decide_submission(&state, &submission("v4", Some("v3")), &TEXT), decision);
}

#[test]
fn a_dry_run_proceeds_only_on_the_plan_in_force_or_its_own_version() {
    let state = plan_chain(5);
    let dry = |version, base| Submission { dry_run: true, ..submission(version, base) };
    let proceed = SubmissionDecision::Proceed;
    assert_eq!(decide_submission(&state, &dry("v5", Some("v4")), &TEXT), proceed);
    assert_eq!(decide_submission(&state, &dry("v4", Some("v3")), &TEXT), proceed);
    let decision = refused(RefusalReason::BaseSuperseded);
    assert_eq!(decide_submission(&state, &dry("v3", Some("v2")), &TEXT), decision);
    let state = plan_chain(ACCEPTED_PLANS_MAX + 3);
    assert_eq!(decide_submission(&state, &dry("v1", Some("v0")), &TEXT), decision);
}
