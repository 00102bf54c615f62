//! Responses of the node itself, as JSON.

use facet::Facet;
use postbarrow_constants::traffic::RETRY_AFTER_S;
use postbarrow_node::TargetResponse;

#[derive(Facet)]
#[facet(skip_all_unless_truthy)]
struct Rejection {
    error: Option<String>,
    outcome: Option<String>,
}

/// A response that states an error, and that the request did not run unless the status is 504.
pub fn error(status: u16, reason: &str) -> TargetResponse {
    rejection(status, if status == 504 { "unknown" } else { "not-run" }, reason)
}

/// A response that states an error and whether the request ran.
pub fn rejection(status: u16, outcome: &str, reason: &str) -> TargetResponse {
    let body = Rejection { error: Some(reason.into()), outcome: Some(outcome.into()) };
    let mut response = json(status, &body);
    response.headers.push((postbarrow_node::OUTCOME.into(), outcome.into()));
    response
}

/// A response with this body; `Retry-After` goes with each status that invites a repeat.
pub fn json<'f, T: Facet<'f>>(status: u16, body: &T) -> TargetResponse {
    let mut headers = vec![("Content-Type".to_string(), "application/json".to_string())];
    if matches!(status, 429 | 503 | 504) {
        headers.push(("Retry-After".into(), RETRY_AFTER_S.to_string()));
    }
    TargetResponse { status, headers, body: facet_json::to_vec(body).unwrap_or_default() }
}
