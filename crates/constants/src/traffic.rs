//! Requests, links, connections and memory.

/// Largest frame on a link.
pub const FRAME_BYTES: usize = 24 * 1024 * 1024;
/// Pending frames of one link; beyond it the newest is dropped, and protocols send again.
pub const LINK_FRAMES: usize = 4_096;
/// A link connects within this time.
pub const LINK_CONNECT_MS: u64 = 300;
/// A link whose write blocks this long is closed.
pub const LINK_WRITE_MS: u64 = 1_000;
/// Pause after a refused connection of a link.
pub const LINK_RETRY_MS: u64 = 100;
/// An idle link ends after this: what is in use sends every second at least, and a link to a
/// departed peer would occupy a thread.
pub const LINK_IDLE_MS: u64 = 60_000;
/// Incoming links of one process.
pub const LINKS: usize = 512;
/// Client connections of one node, each on a small thread.
pub const DOWNSTREAMS: usize = 1_024;
/// Stack of a connection's thread.
pub const STACK_BYTES: usize = 256 * 1024;
/// An idle client connection is closed after this.
pub const DOWNSTREAM_IDLE_MS: u64 = 15_000;
/// A head must be complete in this time.
pub const HEAD_WAIT_MS: u64 = 5_000;
/// A body must be complete in this time.
pub const BODY_WAIT_MS: u64 = 20_000;
/// A client must read its response in this time.
pub const DOWNSTREAM_WRITE_MS: u64 = 10_000;
/// A large response may take so much longer: 256 KiB a second, below any till's link.
pub const DOWNSTREAM_BYTES_PER_MS: u64 = 256;
/// Bytes of one write to a client; the deadline is checked between writes.
pub const WRITE_BYTES: usize = 64 * 1024;
/// Statuses below this one are interim: another response follows.
pub const FIRST_FINAL_STATUS: u16 = 200;
/// Initial capacity for a request's head on its way to a target: most need less, and larger ones
/// grow.
pub const HEAD_INITIAL_BYTES: usize = 512;
/// Largest head of a request or response.
pub const HEAD_BYTES: usize = 32 * 1024;
/// Largest number of headers of a head.
pub const HEADERS: usize = 100;
/// Memory of one node for bodies of requests; as much again for those of responses.
pub const BODIES_BYTES: usize = 256 * 1024 * 1024;
/// Largest response body of a target.
pub const RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// Requests in flight in one node; beyond it they are shed at once.
pub const REQUESTS_IN_FLIGHT: usize = 768;
/// Once half of a node's permits are taken, one client address has at most this percentage of them.
pub const CLIENT_SHARE_PERCENT: usize = 25;
/// The same for one route, so that a burst on one leaves permits for the others.
pub const ROUTE_SHARE_PERCENT: usize = 50;
/// Buckets in which client addresses are counted; a collision only makes a share smaller.
pub const CLIENT_BUCKETS: usize = 1_024;
/// Coordination calls in flight in one node.
pub const CALLS_IN_FLIGHT: usize = 256;
/// Retries that all nodes together may make, in per cent of a service's requests.
pub const RETRY_PERCENT: u64 = 20;
/// Retries allowed to the fleet beyond that percentage, per second; few, so that services with
/// little traffic recover.
pub const RETRIES_PER_S: u64 = 1;
/// Retries that the fleet can save up.
pub const RETRY_BURST: u64 = 10;
/// Attempts of one idempotent request.
pub const ATTEMPTS: usize = 3;
/// Attempts of one ticketed request: each further one needs a committed `Unsent`.
pub const TICKETED_ATTEMPTS: usize = 3;
/// Idle connections retained for one target.
pub const IDLE_CONNECTIONS: usize = 16;
/// Time-out of a target's proof of its identity.
pub const PROOF_WAIT_MS: u64 = 800;
/// The path at which a target proves its identity.
pub const PROOF_PATH: &str = "/.well-known/postbarrow-target";
/// Retry-After of a shed request, in seconds as the header has it.
pub const RETRY_AFTER_S: u64 = 1;
/// Graceful shutdown: unready this long before the listener closes, so that the platform observes
/// it.
pub const STOP_UNREADY_MS: u64 = 1_000;
/// Graceful shutdown: requests in flight get this long.
pub const STOP_WAIT_MS: u64 = 20_000;
/// A target in another zone is selected if it has this many fewer requests in flight.
pub const ZONE_SLACK_REQUESTS: u64 = 4;
/// A target that failed is ejected for this long while others are there.
pub const EJECTION_MS: u64 = 1_000;
/// Bytes of one read of a client's connection.
pub const READ_BYTES: usize = 16 * 1024;
/// Interval at which a blocked read checks for a deadline or a stop.
pub const PEER_CLOSED_CHECK_MS: u64 = 250;
/// Largest size line of a chunk.
pub const CHUNK_LINE_BYTES: usize = 1024;
/// A target accepts a connection within this time, or another is selected.
pub const TARGET_CONNECT_MS: u64 = 500;
/// A connection to a target is reused within this time, unless the target's Keep-Alive header names
/// one.
pub const TARGET_IDLE_MS: u64 = 4_000;
/// A connection is not reused for this long before its target would close it.
pub const TARGET_IDLE_MARGIN_MS: u64 = 1_500;
/// No connection is retained for longer, whatever its target names.
pub const TARGET_IDLE_MAX_MS: u64 = 60_000;
/// Client connections of one control node, each on a small thread.
pub const CLIENT_CONNECTIONS: usize = 512;
/// Interval at which a process checks for signals; a stop has seconds.
pub const SIGNAL_CHECK_MS: u64 = 50;
/// A target's report of its requests in flight decays to a third in this time: about one request's
/// duration.
pub const LOAD_REPORT_DECAY_MS: f64 = 400.0;
/// Cost of another zone, as a fraction of a target's slots.
pub const CROSS_ZONE_PENALTY: f64 = 0.1;
/// Targets whose fractions of used slots differ by less are selected among at random.
pub const RANDOM_TIE_MARGIN: f64 = 0.1;
/// The load of a target that is warming up counts so many times.
pub const SLOW_START_FACTOR: f64 = 2.0;
/// A link whose bytes are not acknowledged for this long is connected anew: its machine may be
/// back.
pub const LINK_UNACKNOWLEDGED_MS: u64 = 400;
/// An idempotent request whose bytes its target's machine does not acknowledge for this long is
/// retried elsewhere.
pub const TARGET_UNRESPONSIVE_MS: u64 = 300;
/// Largest ejection of a target that fails again; each is twice as long as the one before.
pub const EJECTION_MAX_MS: u64 = 8_000;
/// A target that rejected a request is passed over this long while others have capacity.
pub const REJECTION_PAUSE_MS: u64 = 200;
/// Interval at which a request that waits for no socket checks whether its client departed: well
/// within the half second after which work for a departed client is a fault.
pub const CLIENT_CLOSED_CHECK_MS: u64 = 200;
/// A connection that is idle for this long is probed (TCP keep-alive).
pub const KEEPALIVE_IDLE_MS: u64 = 5_000;
/// Interval of such probes.
pub const KEEPALIVE_INTERVAL_MS: u64 = 1_000;
/// Probes without an acknowledgement after which the peer's machine counts as gone: with the two
/// above, 8 s. Partitions of a few seconds are shorter, and a connection behind one resumes after
/// it.
pub const KEEPALIVE_PROBES: u32 = 3;
