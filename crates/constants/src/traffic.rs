//! Requests, links, connections and memory.

/// Largest frame on a link.
pub const FRAME_BYTES: usize = 24 * 1024 * 1024;
/// Frames waiting on one link; beyond it the newest is dropped, and protocols send again.
pub const LINK_FRAMES: usize = 4_096;
/// A link connects within this time.
pub const LINK_CONNECT_MS: u64 = 300;
/// A link whose write hangs this long is closed.
pub const LINK_WRITE_MS: u64 = 1_000;
/// A refused link is tried again after this pause.
pub const LINK_RETRY_MS: u64 = 100;
/// A link over which nothing goes for so long ends: what goes on does so every second at most, and a
/// peer that left for good would keep a thread.
pub const LINK_IDLE_MS: u64 = 60_000;
/// Incoming links of one process.
pub const LINKS: usize = 512;
/// Client connections of one node, each on a small thread.
pub const DOWNSTREAMS: usize = 1_024;
/// Stack of a connection's thread.
pub const STACK_BYTES: usize = 256 * 1024;
/// An idle client connection is closed after this.
pub const DOWNSTREAM_IDLE_MS: u64 = 15_000;
/// A head must be whole in this time.
pub const HEAD_WAIT_MS: u64 = 5_000;
/// A body must be whole in this time.
pub const BODY_WAIT_MS: u64 = 20_000;
/// A response must be taken by the client in this time.
pub const DOWNSTREAM_WRITE_MS: u64 = 10_000;
/// A large one in this time and so much more: 256 KiB a second, below any till's link.
pub const DOWNSTREAM_BYTES_PER_MS: u64 = 256;
/// One write to a client; between writes its deadline is looked at.
pub const WRITE_BYTES: usize = 64 * 1024;
/// Statuses below this one are interim: another response follows.
pub const FIRST_FINAL_STATUS: u16 = 200;
/// Room for a request's head on its way to a target: most take less, and none has to.
pub const HEAD_INITIAL_BYTES: usize = 512;
/// Head of a request or response, at most.
pub const HEAD_BYTES: usize = 32 * 1024;
/// Headers of a head, at most.
pub const HEADERS: usize = 100;
/// Bodies of requests held in memory by one node; as much again for those of responses.
pub const BODIES_BYTES: usize = 256 * 1024 * 1024;
/// Response body of a target, at most.
pub const RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// Requests at work in one node; beyond it they are shed at once.
pub const REQUESTS_IN_FLIGHT: usize = 768;
/// Once half of a node's places are taken, one client address has no more than this share of them.
pub const CLIENT_SHARE_PERCENT: usize = 25;
/// The same for one route: a storm on one leaves places for the others.
pub const ROUTE_SHARE_PERCENT: usize = 50;
/// Buckets in which client addresses are counted; a collision only makes a share smaller.
pub const CLIENT_BUCKETS: usize = 1_024;
/// Coordination calls at work in one node.
pub const CALLS_IN_FLIGHT: usize = 256;
/// Retries that all nodes together may make, in per cent of a service's requests.
pub const RETRY_PERCENT: u64 = 20;
/// Retries allowed to the whole fleet beyond that share, per second; few, so that quiet services recover.
pub const RETRIES_PER_S: u64 = 1;
/// Allowance a fleet can save up.
pub const RETRY_BURST: u64 = 10;
/// Attempts of one lookup.
pub const ATTEMPTS: usize = 3;
/// Attempts of one ticketed request: each further one needs a committed *unsent*.
pub const TICKETED_ATTEMPTS: usize = 3;
/// Connections kept idle for one target.
pub const IDLE_CONNECTIONS: usize = 16;
/// A target proves itself within this time.
pub const PROOF_WAIT_MS: u64 = 800;
/// Where a target proves who it is.
pub const PROOF_PATH: &str = "/.well-known/postbarrow-target";
/// A shed client is told to come back after this; seconds, as the header has it.
pub const RETRY_AFTER_S: u64 = 1;
/// Clean stop: unready this long before the listener closes, so that the platform sees it.
pub const STOP_UNREADY_MS: u64 = 1_000;
/// Clean stop: requests in flight get this long.
pub const STOP_WAIT_MS: u64 = 20_000;
/// A target in another zone must be this much emptier before it is taken instead.
pub const ZONE_SLACK_REQUESTS: u64 = 4;
/// A target that failed here is passed over this long while others are there.
pub const EJECTION_MS: u64 = 1_000;
/// One read of a client's connection.
pub const READ_BYTES: usize = 16 * 1024;
/// A waiting read looks up this often, to see a deadline or a stop.
pub const PEER_CLOSED_CHECK_MS: u64 = 250;
/// A chunk's size line, at most.
pub const CHUNK_LINE_BYTES: usize = 1024;
/// A target takes a connection within this time, or another is sought.
pub const TARGET_CONNECT_MS: u64 = 500;
/// A connection to a target is used again within this time, unless the target says how long it
/// keeps one.
pub const TARGET_IDLE_MS: u64 = 4_000;
/// A connection is left alone so long before its target would close it.
pub const TARGET_IDLE_MARGIN_MS: u64 = 1_500;
/// None is kept longer, whatever its target says.
pub const TARGET_IDLE_MAX_MS: u64 = 60_000;
/// Callers' connections at one control node, each on a small thread.
pub const CLIENT_CONNECTIONS: usize = 512;
/// A process looks for signals at this pace; a stop has seconds.
pub const SIGNAL_CHECK_MS: u64 = 50;
/// What a target told of its occupancy is worth a third after this: about one request's time.
pub const LOAD_REPORT_DECAY_MS: f64 = 400.0;
/// Another zone costs as much as so great a part of a target's slots.
pub const CROSS_ZONE_PENALTY: f64 = 0.1;
/// Targets closer than this in their part of taken slots are drawn by lot.
pub const RANDOM_TIE_MARGIN: f64 = 0.1;
/// A cold target counts as so many times as full.
pub const SLOW_START_FACTOR: f64 = 2.0;
/// A link whose bytes are not acknowledged for so long is opened anew: its machine may be back.
pub const LINK_UNACKNOWLEDGED_MS: u64 = 400;
/// A repeatable request whose bytes its target's machine does not acknowledge for so long goes elsewhere.
pub const TARGET_UNRESPONSIVE_MS: u64 = 300;
/// A target that fails again is passed over twice as long, up to this.
pub const EJECTION_MAX_MS: u64 = 8_000;
/// A target that turned a request away is passed over this long while others have room.
pub const REJECTION_PAUSE_MS: u64 = 200;
/// A waiting request looks this often whether its client has left, where it waits for no socket: well
/// within the half second after which work for a client that left is a fault.
pub const CLIENT_CLOSED_CHECK_MS: u64 = 200;
/// A connection on which nothing came for so long is probed.
pub const KEEPALIVE_IDLE_MS: u64 = 5_000;
/// Such a probe is repeated at this pace.
pub const KEEPALIVE_INTERVAL_MS: u64 = 1_000;
/// Probes without an answer after which the peer's machine counts as gone: with the two above, 8 s.
/// Cuts of a few seconds are shorter, and a connection behind one goes on after it.
pub const KEEPALIVE_PROBES: u32 = 3;
