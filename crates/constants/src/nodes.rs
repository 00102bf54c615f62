//! Freshness, relays, heartbeats and target lists.
//!
//! From 'the list shows it' to 'no new ask anywhere', at worst:
//! LIST_PAUSE_MS (300) + one slow page (300) + an open transaction (500) + commit (100) + NODE_HOLD_MS (1000) = 2200 ms.

/// A node asks the controller for term and watermark at this pace; five questions fit in one hold.
pub const FRESH_MS: u64 = 150;
/// A node serves this long after it sent the answered question, and no longer.
pub const NODE_HOLD_MS: u64 = 1_000;
/// A control node that does not answer this long is left for the next.
pub const FRESH_WAIT_MS: u64 = 300;
/// Children of one relay; two levels carry twelve nodes.
pub const RELAY_CHILDREN: usize = 3;
/// A node behind the watermark this long leaves its parent and tails the controller directly.
pub const RELAY_BEHIND_MS: u64 = 250;
/// A tail request is repeated at this pace; it renews the subscription.
pub const TAIL_RENEW_MS: u64 = 500;
/// A subscription not renewed in this time is dropped.
pub const TAIL_KEEP_MS: u64 = 2_000;
/// News entries a relay keeps for children that lag; beyond it they get an image.
pub const NEWS_KEPT: usize = 512;
/// Bytes of news in one frame.
pub const NEWS_BYTES: usize = 512 * 1024;
/// Heartbeats to watchers on the ring.
pub const RING_BEAT_MS: u64 = 200;
/// Watchers of one node.
pub const RING_WATCHERS: usize = 3;
/// A node unheard by its watchers this long is suspected.
pub const RING_SILENT_MS: u64 = 1_200;
/// A node that neither asked the controller nor beat for this long is gone; beyond its hold and any ticket's use.
pub const NODE_GONE_MS: u64 = 3_000;
/// Pause between two walks of the platform list.
pub const LIST_PAUSE_MS: u64 = 300;
/// A new controller grants no hold before its first whole walk, but waits no longer than this for it:
/// a list that is out of reach must not take the service with it.
pub const LIST_FIRST_MS: u64 = 1_500;
/// One page may take this long.
pub const LIST_PAGE_WAIT_MS: u64 = 2_000;
/// Pages in one walk; a list that goes round for ever ends here.
pub const LIST_PAGES: usize = 1_000;
/// Bytes of one page.
pub const LIST_PAGE_BYTES: usize = 1024 * 1024;
/// Longest Retry-After of the list that is obeyed; the draining bound needs the list sooner.
pub const LIST_RETRY_MOST_MS: u64 = 5_000;
/// Each node probes each target at this pace.
pub const PROBE_MS: u64 = 500;
/// A probe answers within this time or fails.
pub const PROBE_WAIT_MS: u64 = 700;
/// Failed probes in a row before a node says a target is down.
pub const PROBE_FAILURES: u32 = 2;
/// Reports of a node about targets are forgotten after this.
pub const REPORT_KEEP_MS: u64 = 3_000;
/// Addresses of members a node keeps for introductions.
pub const INTRODUCTIONS: usize = 64;
/// A node with a gap in its news asks again at this pace.
pub const TAIL_AGAIN_MS: u64 = 50;
/// A node that left its parent tails the controller this long before it tries the tree again.
pub const DIRECT_MS: u64 = 5_000;
