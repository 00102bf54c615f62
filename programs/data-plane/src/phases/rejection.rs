//! Rejections of requests before their body is read completely, so that their connection can't be
//! reused.

use crate::shared::Shared;
use postbarrow_downstream::head::Reject;
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
}
