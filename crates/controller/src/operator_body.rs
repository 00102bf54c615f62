//! JSON bodies that operators read. Field names are their interface.

use facet::Facet;
use postbarrow_messages::Response;
use postbarrow_plan::Rehearsal;
use postbarrow_state::State;

/// The body for a plan that was accepted, or that was a dry run.
#[derive(Facet)]
#[facet(rename_all = "camelCase")]
pub(crate) struct Submitted {
    version: String,
    in_force: bool,
    dry_run: bool,
    /// Log offsets of the Begin, and of the End where that is remembered.
    began_at: Option<u64>,
    ended_at: Option<u64>,
    rehearsal: Option<Rehearsal>,
}

impl Submitted {
    /// Of a plan that was accepted now.
    pub fn new(version: &str, began: u64, ended: u64, rehearsal: Rehearsal) -> Self {
        Submitted {
            version: version.into(),
            in_force: true,
            dry_run: false,
            began_at: Some(began),
            ended_at: Some(ended),
            rehearsal: Some(rehearsal),
        }
    }

    /// Of a plan that was accepted before, and may have been replaced since.
    pub fn again(state: &State, version: &str, began_at: u64, ended_at: Option<u64>) -> Self {
        Submitted {
            version: version.into(),
            in_force: state.plan_version() == Some(version),
            dry_run: false,
            began_at: Some(began_at),
            ended_at,
            rehearsal: None,
        }
    }

    pub fn dry(version: &str, rehearsal: Rehearsal) -> Self {
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

/// The body for a plan that was refused.
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

/// A response with this HTTP status and JSON body.
pub(crate) fn json<'f, T: Facet<'f>>(status: u16, value: &T) -> Response {
    let body = facet_json::to_vec(value).unwrap_or_else(|error| {
        format!("{{\"error\":\"a response could not be written: {error}\"}}").into_bytes()
    });
    Response::Operator { status, body }
}
