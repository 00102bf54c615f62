//! Tickets, locks, numbers, keys and watches.

/// Time from the request of a ticket within which the ticket must be used if it is granted.
pub const TICKET_USE_MS: u64 = 1_500;
/// Timeout of a request to the controller; a request without a response has an unknown outcome.
pub const CONTROLLER_REQUEST_MS: u64 = 2_500;
/// Time that a requester waits beyond its request's timeout, for the response that the request
/// expired.
pub const CONTROLLER_RESPONSE_SLACK_MS: u64 = 200;
/// Interval at which a request without a response is sent again; the controller deduplicates.
pub const REQUEST_RETRY_MS: u64 = 300;
/// How long a settled ticket is retained: a client's retries arrive within minutes.
pub const TICKET_RETENTION_MS: u64 = 15 * 60 * 1_000;
/// Length of an era, the unit in which the log itself counts time; the ages of tickets and outcomes
/// are counted in eras. A change of leader may lose the time since the last recorded era.
pub const ERA_MS: u64 = 30_000;
/// Largest number of tickets: twice what deployment Kutch needs at 170 tickets a second for fifteen
/// minutes. Beyond it new one-time requests are shed; a retained key is never dropped before
/// `TICKET_RETENTION_MS`.
pub const TICKETS_MAX: usize = 306_000;
/// Largest size of all stored responses together: with the tickets, a slot of a small disk stays
/// near 160 MiB.
pub const STORED_RESPONSES_BYTES: u64 = 64 * 1024 * 1024;
/// Largest response stored with its ticket; a repeat of a request whose response is larger
/// gets 409.
pub const STORED_RESPONSE_BYTES: usize = 2 * 1024;
/// Largest value of an Idempotency-Key header.
pub const TICKET_KEY_BYTES: usize = 200;
/// Largest number of outcomes of coordination calls stored for repeats; beyond it calls that change
/// anything are shed.
pub const STORED_OUTCOMES_MAX: usize = 60_000;
/// How long the outcome of a coordination call is retained for repeats.
pub const STORED_OUTCOME_RETENTION_MS: u64 = 120_000;
/// Shortest time that watch events are retained; the users' requirements name about 20 s.
pub const HISTORY_RETENTION_MS: u64 = 25_000;
/// Largest number of retained watch events; beyond it calls that change anything are shed. 65 calls
/// a second for 25 s are 1 625 events.
pub const HISTORY_EVENTS: usize = 50_000;
/// Time after which a long poll without events ends.
pub const WATCH_WAIT_MS: u64 = 20_000;
/// Largest number of pending long polls of one node.
pub const WATCHES_MAX: usize = 2_000;
/// Interval at which a long poll queries the controller.
pub const WATCH_POLL_MS: u64 = 250;
/// Largest number of events in one watch response.
pub const WATCH_EVENTS: usize = 500;
/// Shortest time to live of a lock; a shorter one is refused.
pub const LOCK_TTL_MIN_MS: u64 = 500;
/// Longest time to live of a lock.
pub const LOCK_TTL_MAX_MS: u64 = 10 * 60 * 1_000;
/// Largest name of a lock, number or key.
pub const NAME_BYTES: usize = 256;
/// Largest value of a key.
pub const VALUE_BYTES: usize = 16 * 1024;
/// Interval at which expired tickets, outcomes and events are removed.
pub const RETENTION_INTERVAL_MS: u64 = 1_000;
/// Largest number of tickets, and of outcomes, that are removed at once.
pub const RETENTION_RECORDS: usize = 2_000;
/// How long an operator's submission waits for its outcome.
pub const SUBMIT_WAIT_MS: u64 = 5_000;
/// How long a stopping control node waits for its last response to be written.
pub const RESPONSE_WRITE_MS: u64 = 50;
/// How long a ticket's settlement is retried; beyond it the end of the node's incarnation settles
/// the ticket as unknown.
pub const SETTLEMENT_WAIT_MS: u64 = 10 * 60 * 1_000;
