//! Leases, relays, heartbeats and the endpoint list.
//!
//! From a draining target's mark in the list to its last request anywhere it takes at worst, for P
//! pages of T ms, a gap of G ms between two requests that the list's rate permits, and F pages in
//! flight at once:
//! max(LIST_SCAN_INTERVAL_MS, P x G, P / F x T + LIST_PAUSE_MS) + T + DRAIN_TRANSACTION_WAIT_MS (200)
//! + COMMIT_ALLOWANCE_MS (100) + NODE_LEASE_MS (1000).
//!
//! `DRAIN_BOUND_MS` (2500) is kept while the first two terms stay within 1200 ms: four pages of
//! 300 ms at 8 a second give 500 + 300; forty of 20 ms at 8 a second exceed it, and the status
//! reports by how much.

/// Interval at which a node renews its lease with the controller; five requests fit in one lease.
pub const LEASE_RENEW_MS: u64 = 150;
/// Interval at which a node without a controller asks all known control nodes: each wait adds to
/// the time without service.
pub const CONTROLLER_SEARCH_MS: u64 = 50;
/// A node serves this long after it sent the lease request that was granted, and no longer.
pub const NODE_LEASE_MS: u64 = 1_000;
/// A control node that does not respond for this long is replaced by the next.
pub const CONTROLLER_WAIT_MS: u64 = 300;
/// Children of one relay; two levels carry twelve nodes.
pub const RELAY_CHILDREN: usize = 3;
/// A node behind the watermark for this long leaves its parent and tails the controller directly.
pub const RELAY_LAG_MS: u64 = 250;
/// Interval at which a tail request is repeated; it renews the subscription.
pub const TAIL_RENEW_MS: u64 = 500;
/// A subscription that is not renewed in this time is dropped.
pub const SUBSCRIPTION_TIMEOUT_MS: u64 = 2_000;
/// Routing updates that a relay retains for children that lag; beyond it they get an image.
pub const UPDATES_RETAINED: usize = 512;
/// Bytes of routing updates that a relay retains: 512 deltas of a few routes each are well below
/// it, and a relay's memory stays so when each change is a complete plan.
pub const UPDATES_RETAINED_BYTES: usize = 4 * 1024 * 1024;
/// Unacknowledged updates are sent again after this; a child that lags for `RELAY_LAG_MS` tails the
/// controller meanwhile, so a lost frame does not have to wait for it.
pub const TAIL_RESEND_MS: u64 = 400;
/// Largest backoff of resent updates: below `SUBSCRIPTION_TIMEOUT_MS`, so that a subscription that
/// is renewed is also served.
pub const TAIL_RESEND_MAX_MS: u64 = 1_600;
/// Bytes of updates in one frame.
pub const UPDATE_FRAME_BYTES: usize = 512 * 1024;
/// Interval of heartbeats to the watchers on the ring.
pub const RING_HEARTBEAT_MS: u64 = 200;
/// Watchers of one node.
pub const RING_WATCHERS: usize = 3;
/// A node without a heartbeat for this long is suspected by its watchers.
pub const RING_TIMEOUT_MS: u64 = 1_200;
/// A node that neither renewed its lease nor sent a heartbeat for this long is removed; beyond its
/// lease and any ticket's use.
pub const NODE_EXPIRY_MS: u64 = 3_000;
/// Pause between two scans of the platform's endpoint list.
pub const LIST_PAUSE_MS: u64 = 50;
/// Shortest time between the starts of two scans, so that a short list is not requested without a
/// pause.
pub const LIST_SCAN_INTERVAL_MS: u64 = 400;
/// Pause after a failed scan.
pub const LIST_RETRY_MS: u64 = 200;
/// Pages in flight at once; more would only exceed the list's rate.
pub const LIST_IN_FLIGHT: usize = 4;
/// Complete scans in a row that miss a row which may only have shifted, before it counts as
/// removed; it gets no requests from the first one on while others of its service are there.
pub const LIST_MISSES: u8 = 6;
/// Complete scans in a row, with no failure between them, that must find less than half of the
/// known rows before the others count as removed. They are made without a pause, so two of them may
/// well meet two faults of the list's own within a tenth of a second; a third is rare, and costs
/// one scan's time.
pub const LIST_SHRUNK_SCANS: u8 = 3;
/// Gap between two requests to the list until it refuses one: eight a second.
pub const LIST_GAP_MS: u64 = 125;
/// The gap in a first scan, on which every node's lease waits.
pub const LIST_FIRST_SCAN_GAP_MS: u64 = 20;
/// Interval at which a gap too long for the bound is shortened by a tenth; each attempt may cost a
/// refusal.
pub const LIST_GAP_DECREASE_MS: u64 = 60_000;
/// Pages of one scan that may fail and be requested again.
pub const LIST_PAGE_RETRIES: u32 = 6;
/// Longest gap that is learnt from refusals.
pub const LIST_GAP_MAX_MS: u64 = 2_000;
/// The list counts its clients' requests over this window.
pub const LIST_WINDOW_MS: u64 = 1_000;
/// Allowance for the commit of a change.
pub const COMMIT_ALLOWANCE_MS: u64 = 100;
/// The users' bound from the mark of a draining target to its last request; status and log report
/// when it can't be kept.
pub const DRAIN_BOUND_MS: u64 = 2_500;
/// A new controller grants no lease before its first complete scan, but waits no longer than this
/// for it: an unreachable list must not take the service with it.
pub const LIST_FIRST_SCAN_WAIT_MS: u64 = 1_500;
/// A page is requested again after this, or after four times the slowest page of the last scan.
pub const LIST_PAGE_FIRST_WAIT_MS: u64 = 600;
/// Time-out of one page.
pub const LIST_PAGE_WAIT_MS: u64 = 2_000;
/// Pages in one scan; a list whose cursors form a circle ends here.
pub const LIST_PAGES: usize = 1_000;
/// Bytes of one page.
pub const LIST_PAGE_BYTES: usize = 1024 * 1024;
/// Longest Retry-After of the list that is obeyed; the drain bound needs the list sooner.
pub const LIST_RETRY_MAX_MS: u64 = 5_000;
/// Interval at which each node probes each target.
pub const PROBE_INTERVAL_MS: u64 = 500;
/// A probe without a response in this time fails.
pub const PROBE_TIMEOUT_MS: u64 = 700;
/// Failed probes in a row before a node reports a target as down.
pub const PROBE_FAILURES: u32 = 2;
/// A node's reports about targets expire after this.
pub const REPORT_RETENTION_MS: u64 = 3_000;
/// Addresses of members that a node retains from introductions.
pub const INTRODUCTIONS: usize = 64;
/// Interval at which a node with a gap in its updates requests them again.
pub const TAIL_RETRY_MS: u64 = 50;
/// A node that left its parent tails the controller this long before it joins the relay tree again.
pub const DIRECT_TAIL_MS: u64 = 5_000;
