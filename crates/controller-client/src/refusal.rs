//! Decides which responses are refusals.

use postbarrow_messages::{Request, Response};
use postbarrow_state::{Call, Outcome};

/// Lowest HTTP status of a response which tells an operator that a plan was not accepted.
const MIN_REFUSING_STATUS: u16 = 400;

/// Returns whether a response says that its copy of the request had no effect, for a reason that
/// may no longer apply when another copy arrives.
pub(crate) fn is_refusal(request: &Request, response: &Response) -> bool {
    match (request, response) {
        (Request::Submit(submission), Response::Operator { status, .. }) => {
            !submission.dry_run && *status >= MIN_REFUSING_STATUS
        }
        (Request::Call { .. }, Response::Full) => true,
        (Request::Call { call, .. }, Response::Outcome(outcome)) => is_refused_call(call, outcome),
        _ => false,
    }
}

fn is_refused_call(call: &Call, outcome: &Outcome) -> bool {
    match call {
        Call::Lock { .. } | Call::Renew { .. } => {
            matches!(outcome, Outcome::LockedByOther { .. } | Outcome::NotOwner)
        }
        Call::Next { .. } | Call::Put { .. } | Call::Remove { .. } => {
            matches!(outcome, Outcome::Conflict { .. } | Outcome::NoKey)
        }
        Call::Free { .. }
        | Call::FreeConfirmed { .. }
        | Call::ReadLock { .. }
        | Call::ReadNumber { .. }
        | Call::ReadKey { .. }
        | Call::Watch { .. } => false,
    }
}
