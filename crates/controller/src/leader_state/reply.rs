//! A leader's reply: when it may be sent, and what is sent once it may not.

use crate::origin::Origin;
use postbarrow_messages::Response;

/// What makes a response true at the moment it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cover {
    /// The entry was written for this very request, so that its commit in this term proves that
    /// nobody else led in between.
    OwnEntry,
    /// The response rests on older entries: another leader may have changed them since, unless the
    /// lease lasts when it is sent.
    Lease,
}

/// A response that waits until the log is committed up to an offset.
pub(crate) struct Reply {
    pub origin: Origin,
    pub offset: u64,
    pub cover: Cover,
    pub response: Response,
}

impl Reply {
    /// The response of a leader that is deposed: only what was written for the request may yet be
    /// committed by another.
    pub fn when_deposed(&self) -> Response {
        match self.cover {
            Cover::OwnEntry => Response::Lost,
            Cover::Lease => Response::NotController { controller: None },
        }
    }

    /// The response once its offset is committed.
    pub fn when_committed(self, has_lease: bool) -> Response {
        match self.cover {
            Cover::Lease if !has_lease => self.when_deposed(),
            Cover::OwnEntry | Cover::Lease => self.response,
        }
    }
}
