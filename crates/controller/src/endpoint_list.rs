//! The platform's endpoint list. Only the leader fetches it, page by page, in repeated scans.
//!
//! `poller` belongs to the leader's state. `scan` and `scan_timing` decide which page is fetched
//! and when, `poll_rate` limits the rate of requests, `page` parses a page, `absence` decides which
//! targets are no longer listed, and `deferred_change` holds the changes until no transaction is
//! open. `handover` is sent to the next leader.

mod absence;
mod deferred_change;
mod handover;
mod page;
mod poll_rate;
mod poller;
mod scan;
mod scan_timing;

pub(crate) use handover::ReceivedHandover;
pub use page::{ListPage, read_page};
pub(crate) use poller::{EndpointListPoller, PollProgress};
