//! Leases, relays, heartbeats and the endpoint list.
//!
//! The longest time from a draining target's mark in the list to the last request at this target,
//! for P pages of T ms, a gap of G ms between two requests that the list's rate permits, and F
//! pages in flight at once, is:
//!
//! ```text
//! max(LIST_SCAN_INTERVAL_MS, P x G, P / F x T + LIST_PAUSE_MS) + T
//!     + DRAIN_TRANSACTION_WAIT_MS (200) + COMMIT_ALLOWANCE_MS (100) + NODE_LEASE_MS (1000)
//! ```
//!
//! `DRAIN_BOUND_MS` (2500) is kept while the first two terms stay within 1200 ms: four pages of
//! 300 ms at 8 a second give 500 + 300; forty of 20 ms at 8 a second exceed it, and the status
//! reports by how much.

/// Interval at which a node renews its lease with the controller; five requests fit in one lease.
pub const LEASE_RENEW_MS: u64 = 150;
/// Interval at which a node without a controller sends requests to all known control nodes: each
/// wait adds to the time without service.
pub const CONTROLLER_SEARCH_MS: u64 = 50;
/// Duration of a node's lease: the node serves this long after it sent the lease request that was
/// granted, and no longer.
pub const NODE_LEASE_MS: u64 = 1_000;
/// Time without a response from a control node after which a node turns to the next one.
pub const CONTROLLER_WAIT_MS: u64 = 300;
/// Largest number of children of one relay; two levels carry twelve nodes.
pub const RELAY_CHILDREN: usize = 3;
/// How long a node may lag behind the watermark before it leaves its parent and tails the
/// controller directly.
pub const RELAY_LAG_MS: u64 = 250;
/// Interval at which a node repeats its tail request, which renews its subscription.
pub const TAIL_RENEW_MS: u64 = 500;
/// Time after which a subscription that was not renewed is dropped.
pub const SUBSCRIPTION_TIMEOUT_MS: u64 = 2_000;
/// Largest number of routing updates that a relay retains for children that lag; beyond it they get
/// an image.
pub const UPDATES_RETAINED: usize = 512;
/// Largest size of the routing updates that a relay retains. 512 deltas of a few routes each are
/// well below it, and a relay's memory stays bounded even if each change is a complete plan.
pub const UPDATES_RETAINED_BYTES: usize = 4 * 1024 * 1024;
/// Time after which unacknowledged updates are sent again. A child that lags for `RELAY_LAG_MS`
/// tails the controller meanwhile, so a lost frame does not have to wait for the resend.
pub const TAIL_RESEND_MS: u64 = 400;
/// Longest backoff of resent updates: below `SUBSCRIPTION_TIMEOUT_MS`, so that a subscription that
/// is renewed is also served.
pub const TAIL_RESEND_MAX_MS: u64 = 1_600;
/// Largest size of the updates in one frame.
pub const UPDATE_FRAME_BYTES: usize = 512 * 1024;
/// Interval of a node's heartbeats to its watchers on the ring.
pub const RING_HEARTBEAT_MS: u64 = 200;
/// Largest number of watchers of one node on the ring.
pub const RING_WATCHERS: usize = 3;
/// Time without a heartbeat after which a node is suspected by its watchers.
pub const RING_TIMEOUT_MS: u64 = 1_200;
/// Time without a lease renewal or a heartbeat after which a node is removed: longer than its lease
/// and any ticket's use.
pub const NODE_EXPIRY_MS: u64 = 3_000;
/// Pause between two scans of the platform's endpoint list.
pub const LIST_PAUSE_MS: u64 = 50;
/// Shortest time between the starts of two scans, so that a short list is not requested without a
/// pause.
pub const LIST_SCAN_INTERVAL_MS: u64 = 400;
/// Pause after a failed scan.
pub const LIST_RETRY_MS: u64 = 200;
/// Largest number of pages in flight at once; more would only exceed the list's rate.
pub const LIST_IN_FLIGHT: usize = 4;
/// Number of complete scans in a row that must miss a row which may only have shifted to another
/// page, before the row counts as removed. Its target gets no requests from the first miss on while
/// its service has other targets.
pub const LIST_MISSES: u8 = 6;
/// Number of complete scans in a row, with no failure between them, that must find less than half
/// of the known rows before the missing ones count as removed. The scans are made without a pause,
/// so two of them can hit two faults of the list itself within a tenth of a second; a third fault
/// is rare, and a third scan costs one scan's time.
pub const LIST_SHRUNK_SCANS: u8 = 3;
/// Gap between two requests to the list until it refuses one: eight requests a second.
pub const LIST_GAP_MS: u64 = 125;
/// Gap between two requests to the list in a new controller's first scan, for which every node's
/// lease waits.
pub const LIST_FIRST_SCAN_GAP_MS: u64 = 20;
/// Interval at which a gap that is too long for `DRAIN_BOUND_MS` is shortened by a tenth; each
/// attempt may cost a refusal.
pub const LIST_GAP_DECREASE_MS: u64 = 60_000;
/// Largest number of pages of one scan that may fail and be requested again.
pub const LIST_PAGE_RETRIES: u32 = 6;
/// Longest gap between two requests to the list that is learnt from its refusals.
pub const LIST_GAP_MAX_MS: u64 = 2_000;
/// Window over which the list counts its clients' requests.
pub const LIST_WINDOW_MS: u64 = 1_000;
/// Time allowed for the commit of a change, a term of the formula in this module's documentation.
pub const COMMIT_ALLOWANCE_MS: u64 = 100;
/// Bound that the users' requirements set on the time from the mark of a draining target to its
/// last request; the status and the log report when it can't be kept.
pub const DRAIN_BOUND_MS: u64 = 2_500;
/// Longest time that a new controller waits for its first complete scan before it grants a lease:
/// an unreachable list must not stop the service.
pub const LIST_FIRST_SCAN_WAIT_MS: u64 = 1_500;
/// Lower bound of the time after which a page is requested again, which is four times the slowest
/// page of the last scan.
pub const LIST_PAGE_FIRST_WAIT_MS: u64 = 600;
/// Timeout of one page, and upper bound of the time after which it is requested again.
pub const LIST_PAGE_WAIT_MS: u64 = 2_000;
/// Largest number of pages in one scan; it ends the scan of a list whose cursors form a circle.
pub const LIST_PAGES_MAX: usize = 1_000;
/// Largest size of one page of the list.
pub const LIST_PAGE_BYTES: usize = 1024 * 1024;
/// Longest Retry-After of the list that is obeyed; `DRAIN_BOUND_MS` needs the list sooner.
pub const LIST_RETRY_MAX_MS: u64 = 5_000;
/// Interval at which each node probes each target.
pub const PROBE_INTERVAL_MS: u64 = 500;
/// Unused: a probe fails after the timeout of a target's proof of its identity.
pub const PROBE_TIMEOUT_MS: u64 = 700;
/// Number of failed probes in a row after which a node reports a target as down.
pub const PROBE_FAILURES: u32 = 2;
/// Time after which a node's reports about targets expire.
pub const REPORT_RETENTION_MS: u64 = 3_000;
/// Largest number of member addresses that a node retains from introductions.
pub const INTRODUCTIONS_MAX: usize = 64;
/// Interval at which a node with a gap in its updates requests them again.
pub const TAIL_RETRY_MS: u64 = 50;
/// How long a node that left its parent tails the controller before it joins the relay tree again.
pub const DIRECT_TAIL_MS: u64 = 5_000;
