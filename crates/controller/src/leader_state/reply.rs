//! A leader's pending reply: when it may be sent, and what is sent instead when it may not.

use crate::origin::Origin;
use postbarrow_messages::Response;

/// The condition that a response must meet when it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Precondition {
    /// The entry that was written for this request is committed. Its commit in this term proves
    /// that no other node led in between.
    OwnEntry,
    /// This leader has its lease. The response depends on older entries, whose effect another
    /// leader may have changed unless the lease lasts when the response is sent.
    Lease,
}

/// A response that waits until the log is committed up to `offset`.
pub(crate) struct Reply {
    pub origin: Origin,
    pub offset: u64,
    pub condition: Precondition,
    pub response: Response,
}

impl Reply {
    /// Returns the response to send when this leader is deposed: `Lost` if an entry was written for
    /// the request, which another leader may still commit; otherwise `NotController`.
    pub fn response_when_deposed(&self) -> Response {
        match self.condition {
            Precondition::OwnEntry => Response::Lost,
            Precondition::Lease => Response::NotController { controller: None },
        }
    }

    /// Returns the response to send once the offset is committed.
    pub fn response_when_committed(self, has_lease: bool) -> Response {
        match self.condition {
            Precondition::Lease if !has_lease => self.response_when_deposed(),
            Precondition::OwnEntry | Precondition::Lease => self.response,
        }
    }
}
