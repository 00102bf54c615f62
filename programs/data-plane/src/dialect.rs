//! What a node's clients and targets speak.
//!
//! The product has a dialect of its own, [`NativeDialect`]; an adapter to another platform implements
//! [`Dialect`]. Nothing else in this crate knows a header or a JSON field of a dialect.

use crate::json_response;
use postbarrow_downstream::head::{Head, end_to_end_headers};
use postbarrow_node::{Completion, TargetResponse};

/// An endpoint of the node itself; a request to it has no target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeEndpoint {
    /// States whether this node is ready.
    Ready,
    /// An application's coordination call to the controller.
    Coordination,
}

/// What a response proves about the request that was sent.
#[derive(Debug, PartialEq)]
pub enum ResponseJudgement {
    /// It is the target's complete response to this request.
    Complete,
    /// The target states that it did not run the request, nor will; with the reason.
    NotRun(String),
    /// No conforming target sends it; the request may have run. With the reason.
    Unsound(String),
    /// It answers a request before this one.
    Misdirected,
}

/// How each request names its target, where targets do not identify themselves on a new connection
/// but reject a request that names another.
pub trait TargetIdentification: Send + Sync {
    /// Headers for this target; `remaining_ms` is the time until the request's deadline.
    fn headers(&self, head: &Head, instance: &str, remaining_ms: u64) -> Vec<(String, String)>;
    /// What a response proves; `first`: no response came on its connection before.
    fn judge_response(
        &self,
        head: &Head,
        response: &TargetResponse,
        first: bool,
    ) -> ResponseJudgement;
    /// Requests in flight and queued at the target, if the response states them.
    fn in_flight(&self, response: &TargetResponse) -> Option<u64>;
}

/// What clients and targets of this node speak.
pub trait Dialect: Send + Sync {
    /// Which endpoint of the node itself the request is for, if any.
    fn node_endpoint(&self, head: &Head) -> Option<NodeEndpoint>;
    /// How long the client waits, in milliseconds, if it states so.
    fn client_timeout_ms(&self, head: &Head) -> Option<u64>;
    /// The key by which a repeat of the request is recognised.
    fn idempotency_key<'h>(&self, head: &'h Head) -> Option<&'h str>;
    /// The response to the client of a request that ended.
    fn render_completion(&self, completion: Completion) -> TargetResponse;
    /// The response to a request that was not read completely or not understood; `unsure`: a request
    /// under its key may have run before.
    fn render_rejection(&self, status: u16, unsure: bool, reason: &str) -> TargetResponse;
    /// How requests name their target. None: targets identify themselves on each new connection.
    fn target_identification(&self) -> Option<&dyn TargetIdentification>;
}

/// The product's own dialect.
pub struct NativeDialect;

impl Dialect for NativeDialect {
    fn node_endpoint(&self, head: &Head) -> Option<NodeEndpoint> {
        match head.path() {
            "/ready" => Some(NodeEndpoint::Ready),
            path if path.starts_with("/coordination/") => Some(NodeEndpoint::Coordination),
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
    fn render_rejection(&self, status: u16, unsure: bool, reason: &str) -> TargetResponse {
        json_response::rejection(status, if unsure { "unknown" } else { "not-run" }, reason)
    }
    fn target_identification(&self) -> Option<&dyn TargetIdentification> {
        None
    }
}

/// The headers of a request as they are forwarded to a target.
pub fn target_headers(
    dialect: &dyn Dialect,
    head: &Head,
    instance: &str,
    remaining_ms: u64,
) -> Vec<(String, String)> {
    let mut headers = end_to_end_headers(&head.headers);
    if let Some(named) = dialect.target_identification() {
        for (name, value) in named.headers(head, instance, remaining_ms) {
            headers.retain(|(known, _)| !known.eq_ignore_ascii_case(&name));
            headers.push((name, value));
        }
    }
    headers
}
