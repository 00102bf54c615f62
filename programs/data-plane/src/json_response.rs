//! JSON responses that the node itself generates.

use facet::Facet;
use postbarrow_constants::traffic::RETRY_AFTER_S;
use postbarrow_node::TargetResponse;

#[derive(Facet)]
#[facet(skip_all_unless_truthy)]
struct Rejection {
    error: Option<String>,
    outcome: Option<String>,
}

/// Returns an error response whose outcome is `unknown` for status 504, and `not-run` for any
/// other.
pub fn error(status: u16, reason: &str) -> TargetResponse {
    rejection(status, if status == 504 { "unknown" } else { "not-run" }, reason)
}

/// Returns an error response with this outcome in its body and in the outcome header.
pub fn rejection(status: u16, outcome: &str, reason: &str) -> TargetResponse {
    let body = Rejection { error: Some(reason.into()), outcome: Some(outcome.into()) };
    let mut response = json(status, &body);
    response.headers.push((postbarrow_node::OUTCOME_HEADER.into(), outcome.into()));
    response
}

/// Returns a response with this JSON body, and with `Retry-After` for a status after which the
/// client may repeat the request (429, 503 and 504).
pub fn json<'f, T: Facet<'f>>(status: u16, body: &T) -> TargetResponse {
    let mut headers = vec![("Content-Type".to_string(), "application/json".to_string())];
    if matches!(status, 429 | 503 | 504) {
        headers.push(("Retry-After".into(), RETRY_AFTER_S.to_string()));
    }
    TargetResponse { status, headers, body: facet_json::to_vec(body).unwrap_or_default() }
}
