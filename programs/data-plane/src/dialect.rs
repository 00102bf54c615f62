//! The conventions on top of HTTP that clients and targets use: paths, headers and response bodies.
//!
//! Postbarrow's own dialect is [`NativeDialect`]; an adapter to another platform implements
//! [`Dialect`]. No other module of this crate depends on the headers or JSON fields of another
//! platform's dialect.

use crate::json_response;
use postbarrow_constants::traffic::{COORDINATION_PREFIX, READINESS_PATH};
use postbarrow_downstream::head::{Head, end_to_end_headers};
use postbarrow_node::{Completion, TargetResponse};

/// The callers for whom a node listens at one of its addresses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListenerRole {
    /// Clients, whose requests are forwarded by the routes of the plan in force.
    Clients,
    /// Load balancers that check whether the node is ready. No request is forwarded from here.
    Readiness,
}

/// An endpoint that the node serves itself; a request to it is not forwarded to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeEndpoint {
    /// The readiness endpoint, whose response states whether this node is ready.
    Ready,
    /// The endpoints of applications' coordination calls, which the controller executes.
    Coordination,
}

/// The conclusion that a target's response permits about its request.
#[derive(Debug, PartialEq)]
pub enum ResponseJudgement {
    /// The response is the target's complete response to this request.
    Complete,
    /// The target states that it did not run the request and never will. The field is the reason.
    NotRun(String),
    /// The response violates the dialect, and the request may have run. The field is the reason.
    Invalid(String),
    /// The response belongs to an earlier request on the same connection.
    Misdirected,
}

/// Identification of targets for a dialect whose targets do not identify themselves on a new
/// connection: each request names its target, and a target rejects a request that names another.
pub trait TargetIdentification: Send + Sync {
    /// Returns the headers to add to a request to this target; `remaining_ms` is the time until the
    /// request's deadline, in milliseconds.
    fn headers(&self, head: &Head, instance: &str, remaining_ms: u64) -> Vec<(String, String)>;
    /// Returns what a response proves about its request; `first` is true for the first response on
    /// a connection.
    fn judge_response(
        &self,
        head: &Head,
        response: &TargetResponse,
        first: bool,
    ) -> ResponseJudgement;
    /// Returns the number of requests in flight and queued at the target, or `None` if the response
    /// does not state it.
    fn in_flight(&self, response: &TargetResponse) -> Option<u64>;
}

/// The paths, headers and response formats that the clients and targets of a node use.
pub trait Dialect: Send + Sync {
    /// Returns the endpoint of the node itself that a request is for. With `None` a client's request
    /// is forwarded by its route, and a request at another address is rejected with 404. An endpoint
    /// for clients hides its path from all routes, so its dialect must reserve that path in plans.
    fn node_endpoint(&self, listener: ListenerRole, head: &Head) -> Option<NodeEndpoint>;
    /// Returns how long the client waits for its response, in milliseconds, or `None` if the
    /// request does not state it.
    fn client_timeout_ms(&self, head: &Head) -> Option<u64>;
    /// Returns the client's key by which a repeat of the request is recognised, or `None` without
    /// one.
    fn idempotency_key<'h>(&self, head: &'h Head) -> Option<&'h str>;
    /// Returns the client's response for a request that ended.
    fn render_completion(&self, completion: Completion) -> TargetResponse;
    /// Returns the response to a request that was incomplete or invalid; `may_have_run_before` is
    /// true if an earlier request with the same key may have run.
    fn render_rejection(
        &self,
        status: u16,
        may_have_run_before: bool,
        reason: &str,
    ) -> TargetResponse;
    /// Returns how each request names its target, or `None` if targets identify themselves on each
    /// new connection.
    fn target_identification(&self) -> Option<&dyn TargetIdentification>;
}

/// Postbarrow's own dialect.
pub struct NativeDialect;

impl Dialect for NativeDialect {
    fn node_endpoint(&self, listener: ListenerRole, head: &Head) -> Option<NodeEndpoint> {
        match head.path() {
            READINESS_PATH => Some(NodeEndpoint::Ready),
            path if listener == ListenerRole::Clients && path.starts_with(COORDINATION_PREFIX) => {
                Some(NodeEndpoint::Coordination)
            }
            _ => None,
        }
    }
    fn client_timeout_ms(&self, _head: &Head) -> Option<u64> {
        None
    }
    fn idempotency_key<'h>(&self, head: &'h Head) -> Option<&'h str> {
        head.header("idempotency-key")
    }
    fn render_completion(&self, completion: Completion) -> TargetResponse {
        completion.into_response()
    }
    fn render_rejection(
        &self,
        status: u16,
        may_have_run_before: bool,
        reason: &str,
    ) -> TargetResponse {
        json_response::rejection(
            status,
            if may_have_run_before { "unknown" } else { "not-run" },
            reason,
        )
    }
    fn target_identification(&self) -> Option<&dyn TargetIdentification> {
        None
    }
}

/// Returns the headers with which a request is forwarded to a target: the client's end-to-end
/// headers, overridden by those that name the target in this dialect.
pub fn target_headers(
    dialect: &dyn Dialect,
    head: &Head,
    instance: &str,
    remaining_ms: u64,
) -> Vec<(String, String)> {
    let mut headers = end_to_end_headers(&head.headers);
    if let Some(identification) = dialect.target_identification() {
        for (name, value) in identification.headers(head, instance, remaining_ms) {
            headers.retain(|(existing, _)| !existing.eq_ignore_ascii_case(&name));
            headers.push((name, value));
        }
    }
    headers
}
