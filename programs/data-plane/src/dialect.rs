//! What a node's callers and targets speak.

use crate::calls;
use postbarrow_downstream::head::{Head, end_to_end_headers};
use postbarrow_node::{Completion, TargetResponse};

/// The node's own calls, which are no requests for a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeEndpoint {
    /// Whether this node is ready.
    Ready,
    /// An application's call to the controller.
    Coordination,
}

/// What a target's response is worth, to who asked.
#[derive(Debug, PartialEq)]
pub enum ResponseJudgement {
    /// The target's own, whole response to this request.
    Complete,
    /// The target says that it did not run the request, nor will.
    NotRun(String),
    /// Not what a sound target sends; the request may have run.
    Unsound(String),
    /// It belongs to a request before this one.
    Misdirected,
}

/// How targets are spoken to that tell no proof of themselves, but turn away what names another.
pub trait TargetIdentification: Send + Sync {
    /// Headers for this target, with the milliseconds that are left.
    fn headers(&self, head: &Head, instance: &str, left_ms: u64) -> Vec<(String, String)>;
    /// What a response on a connection is worth; `first`: none came on it before.
    fn judge_response(
        &self,
        head: &Head,
        response: &TargetResponse,
        first: bool,
    ) -> ResponseJudgement;
    /// Requests at work and waiting there, if the response tells.
    fn in_flight(&self, response: &TargetResponse) -> Option<u64>;
}

/// What callers and targets of this node speak. The product's own dialect is `Own`.
pub trait Dialect: Send + Sync {
    /// Which of the node's own calls this is, if any.
    fn node_endpoint(&self, head: &Head) -> Option<NodeEndpoint>;
    /// How long the client waits, if it says, in milliseconds.
    fn client_timeout_ms(&self, head: &Head) -> Option<u64>;
    /// What makes two requests the same one.
    fn idempotency_key<'h>(&self, head: &'h Head) -> Option<&'h str>;
    /// A response that ends a request, for its client.
    fn render_completion(&self, verdict: Completion) -> TargetResponse;
    /// A request that was not read whole, or not understood.
    fn render_rejection(&self, status: u16, unsure: bool, why: &str) -> TargetResponse;
    /// None: targets prove themselves on each connection.
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
    fn render_completion(&self, verdict: Completion) -> TargetResponse {
        verdict.into_response()
    }
    fn render_rejection(&self, status: u16, unsure: bool, why: &str) -> TargetResponse {
        calls::refused(status, if unsure { "unknown" } else { "not-run" }, why)
    }
    fn target_identification(&self) -> Option<&dyn TargetIdentification> {
        None
    }
}

/// The head as it goes on to a target.
pub fn on_to_target(
    dialect: &dyn Dialect,
    head: &Head,
    instance: &str,
    left_ms: u64,
) -> Vec<(String, String)> {
    let mut headers = end_to_end_headers(&head.headers);
    if let Some(named) = dialect.target_identification() {
        for (name, value) in named.headers(head, instance, left_ms) {
            headers.retain(|(known, _)| !known.eq_ignore_ascii_case(&name));
            headers.push((name, value));
        }
    }
    headers
}
