//! Errors of invalid calls and of fetches from the endpoint list.

use postbarrow_constants::coordination::{LOCK_TTL_MAX_MS, LOCK_TTL_MIN_MS};
use postbarrow_reading::Findings;

/// An invalid call, or a failed fetch from the endpoint list. The texts are part of responses:
/// those of calls reach clients, and those of fetches reach operators, also in the log.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum Error {
    /// A text of a call is too short or too long.
    #[error("{field} must have {min} to {max} bytes")]
    TextLength { field: &'static str, min: usize, max: usize },
    /// A lock's time to live is out of bounds.
    #[error("ttlMs must be from {LOCK_TTL_MIN_MS} to {LOCK_TTL_MAX_MS}")]
    LockTtl,
    /// The increment of a counter is 0.
    #[error("by must be at least 1")]
    ZeroIncrement,
    /// A page of the list has findings, and is rejected as a whole.
    #[error("{0}")]
    InvalidPage(Findings),
    /// A page could not be fetched. Contains the reason.
    #[error("{0}")]
    FetchFailed(String),
    /// The list refused a request because of its rate limit. `gap_ms` is the minimum time between
    /// two requests from now on.
    #[error("refuses; asked every {gap_ms} ms from now on")]
    RateLimited { gap_ms: u64 },
    /// A page did not arrive within its timeout.
    #[error("a page never came")]
    PageTimeout,
    /// A page names a cursor that this scan has already followed.
    #[error("its cursors go round")]
    CursorCycle,
    /// The list has more pages than a scan may have.
    #[error("has no last page")]
    NoLastPage,
}
