//! Requests, links, connections and memory.

/// Largest frame on a link between two processes.
pub const FRAME_BYTES: usize = 24 * 1024 * 1024;
/// Largest number of pending frames of one link; beyond it the newest frame is dropped, and the
/// protocols send again.
pub const LINK_FRAMES: usize = 4_096;
/// Timeout of a link's connect.
pub const LINK_CONNECT_MS: u64 = 300;
/// Timeout of a write on a link; a link whose write blocks longer is closed.
pub const LINK_WRITE_MS: u64 = 1_000;
/// Pause after a failed connect of a link.
pub const LINK_RETRY_MS: u64 = 100;
/// Idle time after which a link ends: a link in use sends every second at least, and a link to a
/// departed peer would occupy a thread.
pub const LINK_IDLE_MS: u64 = 60_000;
/// Largest number of incoming links of one process.
pub const INCOMING_LINKS_MAX: usize = 512;
/// Largest number of client connections of one node, each on a thread with a small stack.
pub const DOWNSTREAM_CONNECTIONS_MAX: usize = 1_024;
/// Stack of the thread of one connection.
pub const STACK_BYTES: usize = 256 * 1024;
/// Time after which an idle client connection is closed.
pub const DOWNSTREAM_IDLE_MS: u64 = 15_000;
/// Longest time for receiving a request's head.
pub const HEAD_WAIT_MS: u64 = 5_000;
/// Longest time for receiving a request's body.
pub const BODY_WAIT_MS: u64 = 20_000;
/// Longest time for a client to read its response, in addition to the time that
/// `DOWNSTREAM_BYTES_PER_MS` allows for the body.
pub const DOWNSTREAM_WRITE_MS: u64 = 10_000;
/// Bytes of a response for each further millisecond that the client may take to read it: 256 kB a
/// second, slower than the link of any client.
pub const DOWNSTREAM_BYTES_PER_MS: u64 = 256;
/// Largest write to a client; the deadline is checked between writes.
pub const WRITE_BYTES: usize = 64 * 1024;
/// Lowest final status. Responses with lower ones are interim: another response follows.
pub const FIRST_FINAL_STATUS: u16 = 200;
/// Initial capacity of the buffer for a request's head to a target: most heads need less, and the
/// buffer grows for larger ones.
pub const HEAD_INITIAL_BYTES: usize = 512;
/// Largest head of a request or response.
pub const HEAD_BYTES: usize = 32 * 1024;
/// Largest number of headers in the head of a request or response.
pub const HEADERS_MAX: usize = 100;
/// Largest memory of one node for bodies of requests; bodies of responses may take as much again.
pub const BODIES_BYTES: usize = 256 * 1024 * 1024;
/// Largest body of a target's response.
pub const RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// Largest number of requests in flight in one node; beyond it requests are shed at once.
pub const REQUESTS_IN_FLIGHT: usize = 768;
/// Largest percentage of a node's requests in flight, and of its client connections, that one
/// client address may have once half of the bound is in use.
pub const CLIENT_SHARE_PERCENT: usize = 25;
/// Largest percentage of a node's requests in flight that one route may have once half of the bound
/// is in use, so that a burst on one route leaves capacity for the others.
pub const ROUTE_SHARE_PERCENT: usize = 50;
/// Number of buckets in which client addresses are counted; a collision only makes a client's share
/// smaller.
pub const CLIENT_BUCKETS: usize = 1_024;
/// Largest number of coordination calls in flight in one node.
pub const CALLS_IN_FLIGHT: usize = 256;
/// Largest number of retries that all nodes together may make, in percent of a service's requests.
pub const RETRY_PERCENT: u64 = 20;
/// Retries per second that all nodes together may make to a service beyond `RETRY_PERCENT`: few, so
/// that services with little traffic recover.
pub const RETRIES_PER_S: u64 = 1;
/// Largest number of unused retries to a service that all nodes together can save up.
pub const RETRY_BURST: u64 = 10;
/// Largest number of attempts of one idempotent request.
pub const ATTEMPTS_MAX: usize = 3;
/// Largest number of attempts of one ticketed request: each further attempt needs a committed
/// `Unsent`.
pub const TICKETED_ATTEMPTS: usize = 3;
/// Largest number of idle connections retained for one target.
pub const IDLE_CONNECTIONS: usize = 16;
/// Timeout of a target's proof of its identity, in a probe or on a new connection.
pub const IDENTITY_TIMEOUT_MS: u64 = 800;
/// Path at which a target proves its identity.
pub const IDENTITY_PATH: &str = "/.well-known/postbarrow-target";
/// Path at which a data node returns whether it is ready, in Postbarrow's own dialect.
pub const READINESS_PATH: &str = "/ready";
/// Beginning of the paths of coordination calls at a data node, in Postbarrow's own dialect.
pub const COORDINATION_PREFIX: &str = "/coordination/";
/// Value of the Retry-After header of the response to a shed request, in seconds like the header.
pub const RETRY_AFTER_S: u64 = 1;
/// Graceful shutdown: how long a process reports that it is unready before it closes its listener,
/// so that the platform observes it.
pub const STOP_UNREADY_MS: u64 = 1_000;
/// Graceful shutdown: longest time for the requests in flight to end.
pub const STOP_WAIT_MS: u64 = 20_000;
/// Largest number of requests in flight by which a target in the node's own zone may exceed a
/// target in another zone and still be selected.
pub const ZONE_SLACK_REQUESTS: u64 = 4;
/// How long a target that failed is ejected while other targets are available.
pub const EJECTION_MS: u64 = 1_000;
/// Largest read from a client's connection.
pub const READ_BYTES: usize = 16 * 1024;
/// Interval at which a blocked read checks for its deadline and for the process's stop.
pub const PEER_CLOSED_CHECK_MS: u64 = 250;
/// Largest line with the size of a chunk, in chunked transfer coding.
pub const CHUNK_LINE_BYTES: usize = 1024;
/// Timeout of a connect to a target, after which another target is selected.
pub const TARGET_CONNECT_MS: u64 = 500;
/// Longest idle time after which a connection to a target is still reused, unless the target's
/// Keep-Alive header names another.
pub const TARGET_IDLE_MS: u64 = 4_000;
/// How long before its target would close it an idle connection is no longer reused.
pub const TARGET_IDLE_MARGIN_MS: u64 = 1_500;
/// Longest idle time after which a connection to a target is still reused, even if the target's
/// Keep-Alive header names a longer one.
pub const TARGET_IDLE_MAX_MS: u64 = 60_000;
/// Largest number of client connections of one control node, each on a thread with a small stack.
pub const CLIENT_CONNECTIONS: usize = 512;
/// Interval at which a process checks for signals; a graceful shutdown has seconds.
pub const SIGNAL_CHECK_MS: u64 = 50;
/// Time in which the weight of a target's report of its requests in flight decays to a third: about
/// one request's duration.
pub const LOAD_REPORT_DECAY_MS: f64 = 400.0;
/// Cost of a target in another zone, as a fraction of the target's slots.
pub const CROSS_ZONE_PENALTY: f64 = 0.1;
/// Difference between targets' fractions of used slots below which the selection among them is
/// random.
pub const RANDOM_TIE_MARGIN: f64 = 0.1;
/// Factor by which the load of a target that is warming up is multiplied.
pub const SLOW_START_FACTOR: f64 = 2.0;
/// Time without an acknowledgement of sent bytes after which a link is connected anew: the peer's
/// machine may be back.
pub const LINK_UNACKNOWLEDGED_MS: u64 = 400;
/// Time without an acknowledgement of sent bytes by the target's machine after which an idempotent
/// request is retried at another target.
pub const TARGET_UNRESPONSIVE_MS: u64 = 300;
/// Longest ejection of a target that fails again; each is twice as long as the one before.
pub const EJECTION_MAX_MS: u64 = 8_000;
/// How long a target that rejected a request is ejected while other targets are available.
pub const REJECTION_EJECTION_MS: u64 = 200;
/// Interval at which a request that waits for no socket checks whether its client departed: well
/// within the half second after which work for a departed client counts as a fault.
pub const CLIENT_CLOSED_CHECK_MS: u64 = 200;
/// Idle time after which a connection is probed (TCP keep-alive).
pub const KEEPALIVE_IDLE_MS: u64 = 5_000;
/// Interval of the TCP keep-alive probes of an idle connection.
pub const KEEPALIVE_INTERVAL_MS: u64 = 1_000;
/// Number of TCP keep-alive probes without an acknowledgement after which the peer's machine counts
/// as gone: 8 s with `KEEPALIVE_IDLE_MS` and `KEEPALIVE_INTERVAL_MS`. Partitions of a few seconds
/// are shorter, and a connection across one resumes afterwards.
pub const KEEPALIVE_PROBES: u32 = 3;
