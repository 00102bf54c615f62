//! Turns a plan into its submission to the controller, in every dialect.

use postbarrow_constants::plans::SUBMISSION_BYTES;
use postbarrow_messages::Submission;
use postbarrow_plan::Plan;

/// A plan whose submission exceeds the bound of one frame, in which it is sent to the controller.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the plan is too large: it takes {size_bytes} bytes with its routes, over the bound of \
     {SUBMISSION_BYTES} bytes"
)]
pub struct SubmissionTooLarge {
    /// Size of the encoded submission in bytes.
    pub size_bytes: usize,
}

/// How the controller handles a submitted plan.
#[derive(Clone, Copy, Debug)]
pub struct SubmitOptions {
    /// Whether the plan is only rehearsed.
    pub dry_run: bool,
    /// Whether services of the plan may have no live target.
    pub allow_empty: bool,
}

/// Returns the submission of a plan.
///
/// # Errors
/// The submission is too large for a frame. It is refused also where the controller runs in this
/// process and no frame is needed, so that every node answers alike.
pub fn to_submission(
    plan: &Plan,
    options: SubmitOptions,
) -> Result<Submission, SubmissionTooLarge> {
    let submission = Submission {
        version: plan.version.as_str().into(),
        base: plan.base.as_deref().map(Into::into),
        records: plan.records(),
        dry_run: options.dry_run,
        allow_empty: options.allow_empty,
    };
    let size_bytes = submission.encoded_bytes();
    if size_bytes > SUBMISSION_BYTES {
        return Err(SubmissionTooLarge { size_bytes });
    }
    Ok(submission)
}

#[cfg(test)]
mod tests;
