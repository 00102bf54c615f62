//! Decides whether a submitted plan proceeds, was accepted before, is refused, or has an unknown
//! outcome.

use postbarrow_messages::Submission;
use postbarrow_state::{Digest, State};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// The decision on a submission, based on the plans accepted and refused so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmissionDecision {
    /// The plan's base is in force and its version is new.
    Proceed,
    /// The same plan was accepted before, whether or not other plans have replaced it since.
    AlreadyAccepted {
        /// Log offset of the batch with which the plan's transaction began.
        began_at: u64,
        /// Log offset of the batch that ended the transaction; `None` if it is no longer retained.
        ended_at: Option<u64>,
    },
    /// The plan was not accepted and never will be.
    Refused(RefusalReason),
    /// The plan may be older than the retained plans, so it is unknown whether it was accepted.
    Unknown,
}

/// The reason why a plan is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// A plan of the same version was accepted with another text or on another base.
    OtherText,
    /// Another plan was accepted on the same base.
    BaseSuperseded,
    /// The plan's base was never accepted. It may be accepted later, so this refusal is recorded.
    BaseNeverAccepted,
    /// The same plan was refused before its base was accepted.
    RefusedBefore,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            RefusalReason::OtherText => "this version was taken with another text",
            RefusalReason::BaseSuperseded => "the base is not the plan in force",
            RefusalReason::BaseNeverAccepted => "the base was never in force",
            RefusalReason::RefusedBefore => {
                "this plan was refused before its base was in force; it needs a new version"
            }
        })
    }
}

/// Returns the SHA-256 digest of a plan's text.
pub fn text_digest(text: &[u8]) -> Digest {
    Sha256::digest(text).into()
}

/// Decides on a submission whose text has this digest, based on the plans accepted and refused so
/// far.
pub fn decide_submission(
    state: &State,
    submission: &Submission,
    digest: &Digest,
) -> SubmissionDecision {
    let (version, base) = (submission.version.as_str(), submission.base.as_deref());
    let decision = decide_known_version(state, submission, digest).unwrap_or_else(|| {
        if state.is_refused(version, digest) {
            SubmissionDecision::Refused(RefusalReason::RefusedBefore)
        } else if state.plan_version() == base {
            SubmissionDecision::Proceed
        } else if state.has_plan_based_on(base) {
            SubmissionDecision::Refused(RefusalReason::BaseSuperseded)
        } else if state.has_complete_plan_history() {
            SubmissionDecision::Refused(RefusalReason::BaseNeverAccepted)
        } else {
            SubmissionDecision::Unknown
        }
    });
    if submission.dry_run { decide_dry_run(state, submission, decision) } else { decision }
}

/// Decides on a version that was accepted before or is in force; it can't be accepted again.
/// Returns `None` for any other version.
fn decide_known_version(
    state: &State,
    submission: &Submission,
    digest: &Digest,
) -> Option<SubmissionDecision> {
    let (base, known_digest, began_at, ended_at) = match state.accepted_plan(&submission.version) {
        Some(accepted) => {
            (&accepted.base, accepted.digest, accepted.began_at, Some(accepted.ended_at))
        }
        None => {
            let plan = state.plan.as_ref().filter(|plan| plan.version == submission.version)?;
            (&plan.base, text_digest(&state.plan_text()), plan.offset, None)
        }
    };
    Some(if *base == submission.base && known_digest == *digest {
        SubmissionDecision::AlreadyAccepted { began_at, ended_at }
    } else {
        SubmissionDecision::Refused(RefusalReason::OtherText)
    })
}

/// Adapts the decision to a dry run, which is never accepted. A dry run proceeds on the plan in
/// force, also if that is the submitted plan itself.
fn decide_dry_run(
    state: &State,
    submission: &Submission,
    decision: SubmissionDecision,
) -> SubmissionDecision {
    match decision {
        SubmissionDecision::AlreadyAccepted { .. }
            if state.plan_version() == Some(submission.version.as_str()) =>
        {
            SubmissionDecision::Proceed
        }
        SubmissionDecision::AlreadyAccepted { .. } | SubmissionDecision::Unknown => {
            SubmissionDecision::Refused(RefusalReason::BaseSuperseded)
        }
        SubmissionDecision::Proceed | SubmissionDecision::Refused(_) => decision,
    }
}
