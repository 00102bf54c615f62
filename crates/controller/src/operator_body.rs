//! JSON bodies of responses to operators. The names of the fields are part of the interface.

use facet::Facet;
use postbarrow_messages::Response;
use postbarrow_plan::Rehearsal;
use postbarrow_state::State;

/// The response body for a plan that was accepted, or for a dry run.
#[derive(Facet)]
#[facet(rename_all = "camelCase")]
pub(crate) struct Submitted {
    version: String,
    in_force: bool,
    dry_run: bool,
    /// Log offset of the batch with which the plan's transaction began; `None` for a dry run.
    began_at: Option<u64>,
    /// Log offset of the batch that ended the transaction; `None` for a dry run, or if it is no
    /// longer retained.
    ended_at: Option<u64>,
    rehearsal: Option<Rehearsal>,
}

impl Submitted {
    /// Creates the body for a plan that was accepted now.
    pub fn accepted(version: &str, began: u64, ended: u64, rehearsal: Rehearsal) -> Self {
        Submitted {
            version: version.into(),
            in_force: true,
            dry_run: false,
            began_at: Some(began),
            ended_at: Some(ended),
            rehearsal: Some(rehearsal),
        }
    }

    /// Creates the body for a plan that was accepted before, and may have been replaced since.
    pub fn accepted_before(
        state: &State,
        version: &str,
        began_at: u64,
        ended_at: Option<u64>,
    ) -> Self {
        Submitted {
            version: version.into(),
            in_force: state.plan_version() == Some(version),
            dry_run: false,
            began_at: Some(began_at),
            ended_at,
            rehearsal: None,
        }
    }

    /// Creates the body for a dry run.
    pub fn dry_run(version: &str, rehearsal: Rehearsal) -> Self {
        Submitted {
            version: version.into(),
            in_force: false,
            dry_run: true,
            began_at: None,
            ended_at: None,
            rehearsal: Some(rehearsal),
        }
    }
}

/// The response body for a plan that was refused.
#[derive(Facet)]
#[facet(rename_all = "camelCase")]
pub(crate) struct Refused {
    error: String,
    version_in_force: Option<String>,
}

impl Refused {
    pub fn new(error: &str, in_force: Option<&str>) -> Self {
        Refused { error: error.into(), version_in_force: in_force.map(str::to_string) }
    }
}

/// Returns a response with this HTTP status, and with the value as its JSON body.
pub(crate) fn json<'f, T: Facet<'f>>(status: u16, value: &T) -> Response {
    let body = facet_json::to_vec(value).unwrap_or_else(|error| {
        format!("{{\"error\":\"a response could not be written: {error}\"}}").into_bytes()
    });
    Response::Operator { status, body }
}
