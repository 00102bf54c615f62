//! The platform's endpoint list: fetched page by page, scan after scan, by the leader alone.
//!
//! `poller` is what the leader has of it. It fetches pages by `scan` at the speed of `poll_rate`,
//! reads each by `page`, lets `absence` decide who is no longer listed, and stores what the pages
//! change in `deferred_change` until no transaction is open. `handover` travels to the next leader.

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
