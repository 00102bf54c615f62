//! How requests end, and how that is told over HTTP.

use crate::TargetResponse;
use facet::Facet;
use postbarrow_constants::traffic::RETRY_AFTER_S;
use postbarrow_state::{Name, Settlement, Ticket};

/// How a request ended, before it is put into HTTP.
#[derive(Debug)]
pub enum RequestOutcome {
    /// The target's own, whole response.
    Complete(TargetResponse),
    /// Its key is known: what became of it.
    Known(Box<Ticket>),
    /// Its key belongs to another request.
    OtherDigest,
    /// No route takes its path.
    NoRoute,
    /// The route takes only these methods.
    OtherMethods(Vec<Name>),
    /// The route takes at most so many bytes.
    BodyTooLarge(u64),
    /// Over the route's requests a second.
    OverRate,
    /// Over the route's requests at once.
    OverConcurrency,
    /// The node is full.
    Overloaded,
    /// The node holds no lease, or has no plan.
    Unready,
    /// No target is left to try, and what the last one did.
    NoTarget(String),
    /// No further attempt is allowed, and what the last target did.
    GaveUp(String),
    /// The log gives it no ticket, and why.
    NoTicket(String),
    /// Its time was over before it went out.
    DeadlinePassed,
    /// The client left before an end that it could be told.
    ClientDeparted,
    /// No word on the ticket: it may yet be granted, though it will not be used.
    TicketUnknown,
    /// The target gave no whole response, and what it gave.
    TargetFailed(String),
    /// The target did not respond in time.
    TargetTimedOut(String),
}

/// How a request ended, and how sure that is.
#[derive(Debug)]
pub struct Completion {
    /// Its end.
    pub outcome: RequestOutcome,
    /// What can be promised of it.
    pub evidence: ExecutionEvidence,
    /// The key that was made up for a request without one.
    pub key: Option<Name>,
}

/// What decides how sure a node can be that a request did not run.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutionEvidence {
    /// It may run at most once.
    pub one_time: bool,
    /// Its client brought a key.
    pub keyed: bool,
    /// The log granted this request a ticket, so nothing ran under its key before.
    pub ticketed: bool,
    /// A target may have run it.
    pub may_have_run: bool,
}

#[derive(Facet)]
struct Body {
    error: String,
    /// ran, not-run, unknown or pending
    outcome: String,
    detail: Option<String>,
}

/// Whether it ran: ran, not-run, unknown or pending.
pub const OUTCOME: &str = "Postbarrow-Outcome";
/// Under which key a repeat of this request is safe.
pub const KEY: &str = "Postbarrow-Key";
/// The response is one that was kept with the ticket.
pub const REPLAYED: &str = "Postbarrow-Replayed";

impl Completion {
    /// The response for its client, in the product's own dialect.
    pub fn into_response(self) -> TargetResponse {
        let about = self.evidence;
        let (status, outcome, error, detail) = match self.outcome {
            RequestOutcome::Complete(mut response) => {
                response.headers.retain(|(name, _)| !is_ours(name));
                response.headers.push((OUTCOME.into(), "ran".into()));
                return response;
            }
            RequestOutcome::Known(ticket) => return known(*ticket),
            RequestOutcome::OtherDigest => {
                (422, "not-run", "the key belongs to another request", None)
            }
            RequestOutcome::NoRoute => (404, "not-run", "no route takes this path", None),
            RequestOutcome::OtherMethods(methods) => {
                let mut response =
                    about.made(405, "not-run", "the route takes other methods", None);
                response.headers.push(("Allow".into(), methods.join(", ")));
                return response;
            }
            RequestOutcome::BodyTooLarge(most) => {
                (413, "not-run", "the body is too large", Some(format!("at most {most} bytes")))
            }
            RequestOutcome::OverRate => (429, "not-run", "over the route's rate", None),
            RequestOutcome::OverConcurrency => {
                (429, "not-run", "over the route's concurrency", None)
            }
            RequestOutcome::Overloaded => (503, "not-run", "this node is full", None),
            RequestOutcome::Unready => (503, "not-run", "this node is not ready", None),
            RequestOutcome::NoTarget(why) => (503, "not-run", "no live target", Some(why)),
            RequestOutcome::GaveUp(why) if about.one_time => {
                (503, "not-run", "gave up before sending", Some(why))
            }
            RequestOutcome::GaveUp(why) => {
                (502, "unknown", "no target gave a whole response", Some(why))
            }
            RequestOutcome::NoTicket(why) => (503, "not-run", "no ticket", Some(why)),
            RequestOutcome::DeadlinePassed => (504, "unknown", "the deadline is over", None),
            RequestOutcome::ClientDeparted => (504, "unknown", "the client left", None),
            RequestOutcome::TicketUnknown => (504, "unknown", "no word on the ticket", None),
            RequestOutcome::TargetFailed(why) => {
                (502, "unknown", "the target gave no whole response", Some(why))
            }
            RequestOutcome::TargetTimedOut(why) => {
                (504, "unknown", "the target did not respond in time", Some(why))
            }
        };
        let mut response = about.made(status, outcome, error, detail);
        if outcome == "unknown"
            && let Some(key) = self.key
        {
            response.headers.push((KEY.into(), key.to_string()));
        }
        response
    }
}

impl ExecutionEvidence {
    /// What a key did before, this node can't say without the log: never 'not run' for a keyed
    /// request that was turned away, whatever the reason.
    fn made(
        &self,
        status: u16,
        outcome: &str,
        error: &str,
        detail: Option<String>,
    ) -> TargetResponse {
        let unsure =
            self.one_time && self.keyed && !self.ticketed && outcome == "not-run" && status != 422;
        let (status, outcome) = match (unsure, status) {
            (true, 503) => (504, "unknown"),
            (true, status) => (status, "unknown"),
            (false, status) => (status, outcome),
        };
        let mut response = json(status, outcome, error, detail);
        let safe = !self.one_time || self.keyed || outcome == "not-run";
        if matches!(status, 429 | 502 | 503 | 504) && safe {
            response.headers.push(("Retry-After".into(), RETRY_AFTER_S.to_string()));
        }
        response
    }
}

fn json(status: u16, outcome: &str, error: &str, detail: Option<String>) -> TargetResponse {
    let detail = detail.filter(|text| !text.is_empty());
    let body = Body { error: error.into(), outcome: outcome.into(), detail };
    TargetResponse {
        status,
        headers: vec![
            ("Content-Type".into(), "application/json".into()),
            (OUTCOME.into(), outcome.into()),
        ],
        body: facet_json::to_vec(&body).unwrap_or_default(),
    }
}

fn known(ticket: Ticket) -> TargetResponse {
    match (ticket.settlement, ticket.response) {
        (Some(Settlement::Ran), Some(kept)) => {
            let mut headers = kept.headers.clone();
            headers.retain(|(name, _)| !is_ours(name));
            headers.push((OUTCOME.into(), "ran".into()));
            headers.push((REPLAYED.into(), "true".into()));
            TargetResponse { status: kept.status, headers, body: kept.body.clone() }
        }
        (Some(Settlement::Ran), None) => {
            json(409, "ran", "the request ran; its response was too large to keep", None)
        }
        (Some(_), _) => json(409, "unknown", "whether the request ran is not known", None),
        (None, _) => {
            let mut response = json(409, "pending", "the request is at work", None);
            response.headers.push(("Retry-After".into(), RETRY_AFTER_S.to_string()));
            response
        }
    }
}

fn is_ours(name: &str) -> bool {
    name.len() > 10 && name.as_bytes()[..10].eq_ignore_ascii_case(b"postbarrow")
}
