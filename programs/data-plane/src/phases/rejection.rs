//! Ends of a request whose body stays unread, so that its connection can't be used again.

use crate::shared::Shared;
use postbarrow_downstream::head::Reject;
use postbarrow_node::{Completion, ExecutionEvidence, RequestOutcome, TargetResponse};

/// Why a request is rejected before its body is read.
pub enum Rejection {
    /// The node's decision, with its response.
    Decided(TargetResponse),
    /// The bytes are no request, or did not arrive in time.
    Unreadable {
        /// Status and reason.
        reject: Reject,
        /// Whether a request under its key may have run before: this one did not, and of an earlier
        /// one this node does not know.
        unsure: bool,
    },
}

impl Rejection {
    /// The rejection of a request with this outcome.
    pub fn decided(
        shared: &Shared,
        evidence: ExecutionEvidence,
        outcome: RequestOutcome,
    ) -> Rejection {
        let completion = Completion { outcome, evidence, key: None };
        Rejection::Decided(shared.dialect.render_completion(completion))
    }
}
