//! What a node's callers and targets speak.

use crate::calls;
use postbarrow_downstream::head::{Head, passed_on};
use postbarrow_node::{TargetResponse, Verdict};

/// The node's own calls, which are no requests for a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OwnCall {
    /// Whether this node is ready.
    Ready,
    /// An application's call to the controller.
    Coordination,
}

/// What a target's response is worth, to who asked.
#[derive(Debug, PartialEq)]
pub enum Heard {
    /// The target's own, whole response to this request.
    Whole,
    /// The target says that it did not run the request, nor will.
    NotRun(String),
    /// Not what a sound target sends; the request may have run.
    Unsound(String),
    /// It belongs to a request before this one.
    Another,
}

/// How targets are spoken to that tell no proof of themselves, but turn away what names another.
pub trait Named: Send + Sync {
    /// Headers for this target, with the milliseconds that are left.
    fn headers(&self, head: &Head, instance: &str, left_ms: u64) -> Vec<(String, String)>;
    /// What a response on a connection is worth; `first`: none came on it before.
    fn heard(&self, head: &Head, response: &TargetResponse, first: bool) -> Heard;
    /// Requests at work and waiting there, if the response tells.
    fn occupancy(&self, response: &TargetResponse) -> Option<u64>;
}

/// What callers and targets of this node speak. The product's own dialect is `Own`.
pub trait Dialect: Send + Sync {
    /// Which of the node's own calls this is, if any.
    fn own_call(&self, head: &Head) -> Option<OwnCall>;
    /// How long the client waits, if it says, in milliseconds.
    fn wait_ms(&self, head: &Head) -> Option<u64>;
    /// What makes two requests the same one.
    fn key<'h>(&self, head: &'h Head) -> Option<&'h str>;
    /// A response that ends a request, for its client.
    fn told(&self, verdict: Verdict) -> TargetResponse;
    /// A request that was not read whole, or not understood.
    fn refused(&self, status: u16, unsure: bool, why: &str) -> TargetResponse;
    /// None: targets prove themselves on each connection.
    fn named(&self) -> Option<&dyn Named>;
}

/// The product's own dialect.
pub struct Own;

impl Dialect for Own {
    fn own_call(&self, head: &Head) -> Option<OwnCall> {
        match head.path() {
            "/ready" => Some(OwnCall::Ready),
            path if path.starts_with("/coordination/") => Some(OwnCall::Coordination),
            _ => None,
        }
    }
    fn wait_ms(&self, _head: &Head) -> Option<u64> {
        None
    }
    fn key<'h>(&self, head: &'h Head) -> Option<&'h str> {
        head.header("idempotency-key")
    }
    fn told(&self, verdict: Verdict) -> TargetResponse {
        verdict.into_response()
    }
    fn refused(&self, status: u16, unsure: bool, why: &str) -> TargetResponse {
        calls::refused(status, if unsure { "unknown" } else { "not-run" }, why)
    }
    fn named(&self) -> Option<&dyn Named> {
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
    let mut headers = passed_on(&head.headers);
    if let Some(named) = dialect.named() {
        for (name, value) in named.headers(head, instance, left_ms) {
            headers.retain(|(known, _)| !known.eq_ignore_ascii_case(&name));
            headers.push((name, value));
        }
    }
    headers
}
