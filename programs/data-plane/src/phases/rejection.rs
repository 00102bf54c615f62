//! Rejections of requests before their body is read completely, so that their connection can't be
//! reused.

use crate::shared::Shared;
use postbarrow_downstream::head::{Head, Reject};
use postbarrow_node::{Completion, ExecutionEvidence, RequestOutcome, TargetResponse};

/// The rejection of a request before its body is read completely.
pub enum Rejection {
    /// The request was understood but not accepted; the field is the response to send.
    Decided(TargetResponse),
    /// The bytes are not a valid request, or did not arrive in time.
    Unreadable {
        /// The HTTP status and the reason for the client.
        reject: Reject,
        /// Whether an earlier request with the same key may have run. The rejected request did not
        /// run, but this node has no record of earlier ones.
        may_have_run_before: bool,
    },
}

impl Rejection {
    /// Returns the rejection of a request with this outcome, as the node's dialect renders it.
    pub fn decided(
        shared: &Shared,
        evidence: ExecutionEvidence,
        outcome: RequestOutcome,
    ) -> Rejection {
        let completion = Completion { outcome, evidence, key: None };
        Rejection::Decided(shared.dialect.render_completion(completion))
    }

    /// Returns the rejection of a request that no endpoint and no route accepts, with this status
    /// and reason. The request does not run, but with a key an earlier one may have run.
    pub fn without_run(shared: &Shared, head: &Head, status: u16, reason: &str) -> Rejection {
        let may_have_run_before = shared.dialect.idempotency_key(head).is_some();
        let response = shared.dialect.render_rejection(status, may_have_run_before, reason);
        Rejection::Decided(response)
    }

    /// Adds a header to the response of a decided rejection.
    pub fn with_header(mut self, name: &str, value: &str) -> Rejection {
        if let Rejection::Decided(response) = &mut self {
            response.headers.push((name.into(), value.into()));
        }
        self
    }
}
