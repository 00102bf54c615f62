//! Freshness, relays, heartbeats and target lists.
//!
//! From 'the list shows it' to 'no new request anywhere', at worst, for P pages of T ms, a gap of G ms
//! between questions that the list's rate permits, and F pages asked for beside each other:
//! max(LIST_SCAN_INTERVAL_MS, P x G, P / F x T + LIST_PAUSE_MS) + T + DRAIN_TRANSACTION_WAIT_MS (200)
//! and COMMIT_ALLOWANCE_MS (100) and NODE_LEASE_MS (1000).
//!
//! 2500 ms hold while the first two terms stay within 1200 ms: four
//! pages of 300 ms at 8 a second give 500 + 300, forty of 20 ms at 8 a second do not hold, and
//! status tells by how much.

/// A node asks the controller for term and watermark at this pace; five questions fit in one lease.
pub const LEASE_RENEW_MS: u64 = 150;
/// Without a controller it asks all it knows at this pace: each wait adds to the time without service.
pub const CONTROLLER_SEARCH_MS: u64 = 50;
/// A node serves this long after it sent the answered question, and no longer.
pub const NODE_LEASE_MS: u64 = 1_000;
/// A control node that does not answer this long is left for the next.
pub const CONTROLLER_WAIT_MS: u64 = 300;
/// Children of one relay; two levels carry twelve nodes.
pub const RELAY_CHILDREN: usize = 3;
/// A node behind the watermark this long leaves its parent and tails the controller directly.
pub const RELAY_LAG_MS: u64 = 250;
/// A tail request is repeated at this pace; it renews the subscription.
pub const TAIL_RENEW_MS: u64 = 500;
/// A subscription not renewed in this time is dropped.
pub const SUBSCRIPTION_TIMEOUT_MS: u64 = 2_000;
/// News entries a relay keeps for children that lag; beyond it they get an image.
pub const UPDATES_RETAINED: usize = 512;
/// Bytes of news a relay keeps: 512 deltas of a few routes each are well below it, and a relay's
/// memory stays so when each change is a whole plan.
pub const UPDATES_RETAINED_BYTES: usize = 4 * 1024 * 1024;
/// News that a child does not confirm are sent again after this; a child that is behind for
/// `RELAY_LAG_MS` asks the controller meanwhile, so a lost frame does not have to wait for it.
pub const TAIL_RESEND_MS: u64 = 400;
/// Longest pause between two sends of the same news: below `SUBSCRIPTION_TIMEOUT_MS`, so that a subscription
/// that is renewed is also served.
pub const TAIL_RESEND_MAX_MS: u64 = 1_600;
/// Bytes of news in one frame.
pub const UPDATE_FRAME_BYTES: usize = 512 * 1024;
/// Heartbeats to watchers on the ring.
pub const RING_HEARTBEAT_MS: u64 = 200;
/// Watchers of one node.
pub const RING_WATCHERS: usize = 3;
/// A node unheard by its watchers this long is suspected.
pub const RING_TIMEOUT_MS: u64 = 1_200;
/// A node that neither asked the controller nor beat for this long is gone; beyond its lease and any ticket's use.
pub const NODE_EXPIRY_MS: u64 = 3_000;
/// Pause between two walks of the platform list.
pub const LIST_PAUSE_MS: u64 = 50;
/// Walks begin no closer than this: a short list is not asked for all the time.
pub const LIST_SCAN_INTERVAL_MS: u64 = 400;
/// Pause after a walk that failed.
pub const LIST_RETRY_MS: u64 = 200;
/// Pages asked for beside each other; more would only run into the list's rate.
pub const LIST_IN_FLIGHT: usize = 4;
/// Whole walks in a row that miss a row which may only have shifted, before it counts as gone; it
/// gets no requests from the first one on while others of its service are there.
pub const LIST_MISSES: u8 = 6;
/// Whole walks in a row, with no failure between them, that must find less than half of what is known
/// before the rest counts as gone. They are made at once, so two of them may well meet two troubles
/// of the list's own within a tenth of a second; a third is rare, and costs one walk's time.
pub const LIST_SHRUNK_SCANS: u8 = 3;
/// Gap between two questions to the list until it refuses one: eight a second.
pub const LIST_GAP_MS: u64 = 125;
/// Gap of a first walk, on which every node's lease waits.
pub const LIST_FIRST_SCAN_GAP_MS: u64 = 20;
/// A gap too long for the bound is tried a tenth shorter at this pace; each try may cost a refusal.
pub const LIST_GAP_DECREASE_MS: u64 = 60_000;
/// Pages of one walk that may fail and be asked for again.
pub const LIST_PAGE_RETRIES: u32 = 6;
/// Longest gap that is learnt from refusals.
pub const LIST_GAP_MAX_MS: u64 = 2_000;
/// A list counts its callers' questions over a second.
pub const LIST_WINDOW_MS: u64 = 1_000;
/// Allowance for a change's way through the log.
pub const COMMIT_ALLOWANCE_MS: u64 = 100;
/// What the users allow from a mark to the last request; beyond it status and log say so.
pub const DRAIN_BOUND_MS: u64 = 2_500;
/// A new controller grants no lease before its first whole walk, but waits no longer than this for it:
/// a list that is out of reach must not take the service with it.
pub const LIST_FIRST_SCAN_WAIT_MS: u64 = 1_500;
/// A page is asked for again after this, or four times the slowest page of the last walk.
pub const LIST_PAGE_FIRST_WAIT_MS: u64 = 600;
/// One page may take this long.
pub const LIST_PAGE_WAIT_MS: u64 = 2_000;
/// Pages in one walk; a list that goes round for ever ends here.
pub const LIST_PAGES: usize = 1_000;
/// Bytes of one page.
pub const LIST_PAGE_BYTES: usize = 1024 * 1024;
/// Longest Retry-After of the list that is obeyed; the draining bound needs the list sooner.
pub const LIST_RETRY_MAX_MS: u64 = 5_000;
/// Each node probes each target at this pace.
pub const PROBE_INTERVAL_MS: u64 = 500;
/// A probe answers within this time or fails.
pub const PROBE_TIMEOUT_MS: u64 = 700;
/// Failed probes in a row before a node says a target is down.
pub const PROBE_FAILURES: u32 = 2;
/// Reports of a node about targets are forgotten after this.
pub const REPORT_RETENTION_MS: u64 = 3_000;
/// Addresses of members a node keeps for introductions.
pub const INTRODUCTIONS: usize = 64;
/// A node with a gap in its news asks again at this pace.
pub const TAIL_RETRY_MS: u64 = 50;
/// A node that left its parent tails the controller this long before it tries the tree again.
pub const DIRECT_TAIL_MS: u64 = 5_000;
