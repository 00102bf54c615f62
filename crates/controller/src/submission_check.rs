//! Whether a submitted plan proceeds, was accepted before, is refused, or is unknown.

use postbarrow_messages::Submission;
use postbarrow_state::{Digest, State};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// The decision on a submission, by the plans accepted so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmissionDecision {
    /// Its base is in force and its version is new.
    Proceed,
    /// This very plan was accepted, whether or not others were built on it since.
    AlreadyAccepted {
        /// Log offset of its Begin.
        began_at: u64,
        /// Log offset of its End, where that is remembered.
        ended_at: Option<u64>,
    },
    /// It was not accepted and never will be.
    Refused(RefusalReason),
    /// It may be older than what is remembered, so it may have been accepted.
    Unknown,
}

/// Why a plan is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Its version was accepted with another text or on another base.
    OtherText,
    /// Another plan was accepted on its base.
    BaseBuiltUpon,
    /// Its base was never accepted. It may be later, so this refusal is recorded.
    BaseNeverAccepted,
    /// The same plan was refused before its base was accepted.
    RefusedBefore,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            RefusalReason::OtherText => "this version was taken with another text",
            RefusalReason::BaseBuiltUpon => "the base is not the plan in force",
            RefusalReason::BaseNeverAccepted => "the base was never in force",
            RefusalReason::RefusedBefore => {
                "this plan was refused before its base was in force; it needs a new version"
            }
        })
    }
}

/// SHA-256 of a plan's text.
pub fn text_digest(text: &[u8]) -> Digest {
    Sha256::digest(text).into()
}

/// Decides on a submission whose text has this digest, by the plans accepted so far.
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
        } else if state.is_built_upon(base) {
            SubmissionDecision::Refused(RefusalReason::BaseBuiltUpon)
        } else if state.remembers_every_plan() {
            SubmissionDecision::Refused(RefusalReason::BaseNeverAccepted)
        } else {
            SubmissionDecision::Unknown
        }
    });
    if submission.dry_run { decide_dry_run(state, submission, decision) } else { decision }
}

/// A version that was accepted can't be accepted again.
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

/// A dry run is never accepted: it runs on the plan in force, or on itself when that is in force.
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
            SubmissionDecision::Refused(RefusalReason::BaseBuiltUpon)
        }
        SubmissionDecision::Proceed | SubmissionDecision::Refused(_) => decision,
    }
}
