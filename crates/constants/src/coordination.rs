//! Tickets, locks, numbers, keys and watches.

/// A granted ticket is used within this time of its request, or never.
pub const TICKET_USE_MS: u64 = 1_500;
/// A request to the controller without a response in this time has an unknown outcome.
pub const CONTROLLER_REQUEST_MS: u64 = 2_500;
/// The requester waits so much longer than its request is valid, for the response that it expired.
pub const CONTROLLER_ANSWER_SLACK_MS: u64 = 200;
/// Interval at which a request without a response is sent again; the controller deduplicates.
pub const REQUEST_RETRY_MS: u64 = 300;
/// How long a settled ticket is retained: a client's retries arrive within minutes.
pub const TICKET_RETENTION_MS: u64 = 15 * 60 * 1_000;
/// Step of the log's own time; a change of leader may lose one.
pub const ERA_MS: u64 = 30_000;
/// Largest number of tickets: twice Kutch's 170 a second for fifteen minutes. Beyond it new
/// one-time requests are shed; a retained key is never dropped before its time.
pub const TICKETS: usize = 306_000;
/// Bytes of all stored responses: with the tickets, a slot of a small disk stays near 160 MiB.
pub const STORED_RESPONSES_BYTES: u64 = 64 * 1024 * 1024;
/// Largest response stored with its ticket; a repeat of a request with a larger one gets 409.
pub const STORED_RESPONSE_BYTES: usize = 2 * 1024;
/// Largest Idempotency-Key.
pub const TICKET_KEY_BYTES: usize = 200;
/// Largest number of results of coordination calls stored for repeats; beyond it calls that change
/// anything are shed.
pub const STORED_RESULTS: usize = 60_000;
/// How long such a result is retained.
pub const STORED_RESULT_RETENTION_MS: u64 = 120_000;
/// Watch events are retained at least this long; the users' pages require about 20 s.
pub const HISTORY_RETENTION_MS: u64 = 25_000;
/// Largest number of retained watch events, shed beyond; 65 calls a second for 25 s are 1 625.
pub const HISTORY_EVENTS: usize = 50_000;
/// A long poll ends without events after this time.
pub const WATCH_WAIT_MS: u64 = 20_000;
/// Pending long polls of one node.
pub const WATCHES: usize = 2_000;
/// Interval at which a long poll queries the controller.
pub const WATCH_POLL_MS: u64 = 250;
/// Events in one watch response.
pub const WATCH_EVENTS: usize = 500;
/// Shortest time to live of a lock; a shorter one is refused.
pub const LOCK_TTL_MIN_MS: u64 = 500;
/// Longest time to live of a lock.
pub const LOCK_TTL_MAX_MS: u64 = 10 * 60 * 1_000;
/// Largest name of a lock, number or key.
pub const NAME_BYTES: usize = 256;
/// Largest value of a key.
pub const VALUE_BYTES: usize = 16 * 1024;
/// Interval at which expired tickets, results and events are removed.
pub const RETENTION_MS: u64 = 1_000;
/// Records in one batch of removals.
pub const RETENTION_RECORDS: usize = 2_000;
/// How long an operator's submission waits for its outcome.
pub const SUBMIT_WAIT_MS: u64 = 5_000;
/// How long a stopping control node waits for its last response to be written.
pub const ANSWER_WRITE_MS: u64 = 50;
/// How long a settlement is retried; beyond it the end of the node's incarnation settles the ticket
/// as unknown.
pub const SETTLEMENT_WAIT_MS: u64 = 10 * 60 * 1_000;
