//! Tickets, locks, numbers, keys and watches.

/// A granted ticket is used within this time of the question or never.
pub const TICKET_USE_MS: u64 = 1_500;
/// A question to the controller that gets no response in this time has an unknown end.
pub const CONTROLLER_REQUEST_MS: u64 = 2_500;
/// Who asked waits so much longer than the question lives, for the answer that its time is over.
pub const CONTROLLER_ANSWER_SLACK_MS: u64 = 200;
/// A question is sent again at this pace while its end is open; the controller sees repeats.
pub const REQUEST_RETRY_MS: u64 = 300;
/// A settled ticket is kept this long: a client's retries come within minutes.
pub const TICKET_RETENTION_MS: u64 = 15 * 60 * 1_000;
/// The log's own time goes on in such steps; a change of controller may lose one.
pub const ERA_MS: u64 = 30_000;
/// Tickets at most: twice Kutch's 170 a second for fifteen minutes. Beyond it new one-time requests are
/// shed; a kept key is never dropped before its time.
pub const TICKETS: usize = 306_000;
/// Bytes of kept responses in all: with the tickets, a slot of a small disk stays near 160 MiB.
pub const STORED_RESPONSES_BYTES: u64 = 64 * 1024 * 1024;
/// A response kept with its ticket, at most; larger ones get 409 on repeat.
pub const STORED_RESPONSE_BYTES: usize = 2 * 1024;
/// An Idempotency-Key, at most.
pub const TICKET_KEY_BYTES: usize = 200;
/// Results of coordination calls kept for repeats; beyond it calls that change anything are shed.
pub const STORED_RESULTS: usize = 60_000;
/// Such a result is kept this long.
pub const STORED_RESULT_RETENTION_MS: u64 = 120_000;
/// Watch events kept at least this long; the brief asks for about 20 s.
pub const HISTORY_RETENTION_MS: u64 = 25_000;
/// Watch events kept at most, shed beyond; 65 calls a second for 25 s is 1 625.
pub const HISTORY_EVENTS: usize = 50_000;
/// A long poll ends empty after this.
pub const WATCH_WAIT_MS: u64 = 20_000;
/// Long polls open at one node.
pub const WATCHES: usize = 2_000;
/// A long poll asks the controller again at this pace.
pub const WATCH_POLL_MS: u64 = 250;
/// Events in one watch response.
pub const WATCH_EVENTS: usize = 500;
/// Shortest time to live of a lock; a shorter wish is refused.
pub const LOCK_TTL_MIN_MS: u64 = 500;
/// Longest time to live of a lock.
pub const LOCK_TTL_MAX_MS: u64 = 10 * 60 * 1_000;
/// Name of a lock, number or key.
pub const NAME_BYTES: usize = 256;
/// Value of a small key.
pub const VALUE_BYTES: usize = 16 * 1024;
/// Housekeeping of tickets, repeats and history.
pub const RETENTION_MS: u64 = 1_000;
/// Records in one housekeeping batch.
pub const RETENTION_RECORDS: usize = 2_000;
/// Operator's submission waits this long for its end.
pub const SUBMIT_WAIT_MS: u64 = 5_000;
/// A stopping control node leaves its last answer this long to be written.
pub const ANSWER_WRITE_MS: u64 = 50;
/// A settlement is sent again for this long; beyond it the node's own end settles as unknown.
pub const SETTLEMENT_WAIT_MS: u64 = 10 * 60 * 1_000;
