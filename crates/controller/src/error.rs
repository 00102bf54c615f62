//! Why a call is invalid, or a fetch from the endpoint list failed.

use postbarrow_constants::coordination::{LOCK_TTL_MAX_MS, LOCK_TTL_MIN_MS};
use postbarrow_reading::Findings;

/// An invalid call, or a failed fetch from the endpoint list. Clients and operators read the texts.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum Error {
    /// A text of a call is too short or too long.
    #[error("{field} must have {min} to {max} bytes")]
    TextLength { field: &'static str, min: usize, max: usize },
    /// A lock's time is outside its bounds.
    #[error("ttlMs must be from {LOCK_TTL_MIN_MS} to {LOCK_TTL_MAX_MS}")]
    LockTtl,
    /// A number would not increase.
    #[error("by must be at least 1")]
    ZeroIncrement,
    /// A page of the list has findings; nothing of it is used.
    #[error("{0}")]
    InvalidPage(Findings),
    /// A page could not be fetched.
    #[error("{0}")]
    FetchFailed(String),
    /// The list refused for its rate limit.
    #[error("refuses; asked every {gap_ms} ms from now on")]
    RateLimited { gap_ms: u64 },
    /// A page did not arrive within its time.
    #[error("a page never came")]
    PageTimeout,
    /// A page names a cursor that this scan has followed already.
    #[error("its cursors go round")]
    CursorCycle,
    /// The list has more pages than a scan may have.
    #[error("has no last page")]
    NoLastPage,
}
