//! The HTTP response to a completion, with the headers of the product's own HTTP dialect.
//!
//! `Postbarrow-Outcome` says whether the request ran. Without an answer from the log, a node can't
//! know whether an earlier request under the client's key ran. A one-time request with a client key
//! that is rejected without such an answer is therefore reported as `unknown` and never as
//! `not-run`, whatever the reason of the rejection.

use crate::{Completion, ExecutionEvidence, RequestOutcome, TargetResponse};
use facet::Facet;
use postbarrow_constants::traffic::RETRY_AFTER_S;
use postbarrow_state::{Settlement, Ticket};

/// Name of the header that says whether the request ran: `ran`, `not-run`, `unknown` or `pending`.
pub const OUTCOME_HEADER: &str = "Postbarrow-Outcome";
/// Name of the header with the generated key under which the client can safely repeat the request.
pub const KEY_HEADER: &str = "Postbarrow-Key";
/// Name of the header that marks a response which was stored with an earlier request's ticket.
pub const REPLAYED_HEADER: &str = "Postbarrow-Replayed";

const RAN: &str = "ran";
const NOT_RUN: &str = "not-run";
const UNKNOWN: &str = "unknown";
const PENDING: &str = "pending";

#[derive(Facet)]
struct ErrorBody {
    error: String,
    /// The value of the `Postbarrow-Outcome` header.
    outcome: String,
    detail: Option<String>,
}

impl Completion {
    /// Returns the HTTP response for the client.
    pub fn into_response(self) -> TargetResponse {
        let (evidence, one_time) = (self.evidence, self.evidence.one_time);
        let (status, outcome, error, detail) = match self.outcome {
            RequestOutcome::Complete(response) => return mark_as_ran(response),
            RequestOutcome::Known(ticket) => return response_of_known_ticket(*ticket),
            RequestOutcome::OtherMethods(methods) => {
                let error = "the route takes other methods";
                let mut response = evidence.error_response(405, NOT_RUN, error, None);
                response.headers.push(("Allow".into(), methods.join(", ")));
                return response;
            }
            RequestOutcome::OtherDigest => {
                (422, NOT_RUN, "the key belongs to another request", None)
            }
            RequestOutcome::NoRoute => (404, NOT_RUN, "no route takes this path", None),
            RequestOutcome::BodyTooLarge(max) => {
                (413, NOT_RUN, "the body is too large", Some(format!("at most {max} bytes")))
            }
            RequestOutcome::OverRate => (429, NOT_RUN, "over the route's rate", None),
            RequestOutcome::OverConcurrency => (429, NOT_RUN, "over the route's concurrency", None),
            RequestOutcome::Overloaded => (503, NOT_RUN, "this node is full", None),
            RequestOutcome::Unready => (503, NOT_RUN, "this node is not ready", None),
            RequestOutcome::NoTarget(reason) => (503, NOT_RUN, "no live target", Some(reason)),
            RequestOutcome::GaveUp(reason) => match one_time {
                true => (503, NOT_RUN, "gave up before sending", Some(reason)),
                false => (502, UNKNOWN, "no target gave a whole response", Some(reason)),
            },
            RequestOutcome::NoTicket(reason) => (503, NOT_RUN, "no ticket", Some(reason)),
            RequestOutcome::DeadlinePassed => (504, UNKNOWN, "the deadline is over", None),
            RequestOutcome::ClientDeparted => (504, UNKNOWN, "the client left", None),
            RequestOutcome::TicketUnknown => (504, UNKNOWN, "no word on the ticket", None),
            RequestOutcome::TargetFailed(reason) => {
                (502, UNKNOWN, "the target gave no whole response", Some(reason))
            }
            RequestOutcome::TargetTimedOut(reason) => {
                (504, UNKNOWN, "the target did not respond in time", Some(reason))
            }
        };
        let mut response = evidence.error_response(status, outcome, error, detail);
        if outcome == UNKNOWN
            && let Some(key) = self.key
        {
            response.headers.push((KEY_HEADER.into(), key.to_string()));
        }
        response
    }
}

impl ExecutionEvidence {
    /// Returns a response of this node that claims no more about the execution than the evidence
    /// supports.
    fn error_response(
        &self,
        status: u16,
        outcome: &str,
        error: &str,
        detail: Option<String>,
    ) -> TargetResponse {
        let may_have_run_before =
            self.one_time && self.keyed && !self.ticketed && outcome == NOT_RUN && status != 422;
        let (status, outcome) = match (may_have_run_before, status) {
            (true, 503) => (504, UNKNOWN),
            (true, status) => (status, UNKNOWN),
            (false, status) => (status, outcome),
        };
        let mut response = error_json(status, outcome, error, detail);
        let may_repeat = !self.one_time || self.keyed || outcome == NOT_RUN;
        if matches!(status, 429 | 502 | 503 | 504) && may_repeat {
            response.headers.push(("Retry-After".into(), RETRY_AFTER_S.to_string()));
        }
        response
    }
}

fn error_json(status: u16, outcome: &str, error: &str, detail: Option<String>) -> TargetResponse {
    let detail = detail.filter(|text| !text.is_empty());
    let body = ErrorBody { error: error.into(), outcome: outcome.into(), detail };
    TargetResponse {
        status,
        headers: vec![
            ("Content-Type".into(), "application/json".into()),
            (OUTCOME_HEADER.into(), outcome.into()),
        ],
        body: facet_json::to_vec(&body).unwrap_or_default(),
    }
}

/// Returns the target's response marked as `ran`; headers of the target under the product's own
/// names are removed.
fn mark_as_ran(mut response: TargetResponse) -> TargetResponse {
    response.headers.retain(|(name, _)| !is_own_header(name));
    response.headers.push((OUTCOME_HEADER.into(), RAN.into()));
    response
}

fn response_of_known_ticket(ticket: Ticket) -> TargetResponse {
    match (ticket.settlement, ticket.response) {
        (Some(Settlement::Ran), Some(stored)) => {
            let mut response = mark_as_ran(TargetResponse {
                status: stored.status,
                headers: stored.headers.clone(),
                body: stored.body.clone(),
            });
            response.headers.push((REPLAYED_HEADER.into(), "true".into()));
            response
        }
        (Some(Settlement::Ran), None) => {
            error_json(409, RAN, "the request ran; its response was too large to keep", None)
        }
        (Some(_), _) => error_json(409, UNKNOWN, "whether the request ran is not known", None),
        (None, _) => {
            let mut response = error_json(409, PENDING, "the request is at work", None);
            response.headers.push(("Retry-After".into(), RETRY_AFTER_S.to_string()));
            response
        }
    }
}

fn is_own_header(name: &str) -> bool {
    const PREFIX: &[u8] = b"postbarrow";
    name.len() > PREFIX.len() && name.as_bytes()[..PREFIX.len()].eq_ignore_ascii_case(PREFIX)
}
