//! Bounds of plans and transactions.

/// Begin's name and Abort's reason, from KIP-868.
pub const MARKER_TEXT_BYTES: usize = 255;
/// A transaction open longer than this gets Abort (ours, start value).
pub const TRANSACTION_OPEN_MS: u64 = 500;
/// A page that shows a target leave waits this long for an open transaction, which then gets Abort.
pub const DRAIN_TRANSACTION_WAIT_MS: u64 = 200;
/// A pending delta above this gets Abort (ours, start value).
pub const DELTA_BYTES: usize = 8 * 1024 * 1024;
/// Record bytes in one batch; small enough that tickets behind a batch wait one short sync.
pub const BATCH_BYTES: usize = 64 * 1024;
/// Batches of a transaction in flight at once; pipelining hides the sync.
pub const BATCHES_IN_FLIGHT: usize = 8;
/// A plan's text as received; above the delta bound, so that the bound is what refuses a large one.
pub const PLAN_TEXT_BYTES: usize = 16 * 1024 * 1024;
/// Taken plans that are remembered, so that the same one sent again is acknowledged again: a day of
/// 1,800 changes and some more. An older one gets no clear answer.
pub const ACCEPTED_PLANS: usize = 2_048;
/// Remembered plans that were refused because their base was never taken. A copy still on its way
/// is at most one operator's wait old, and eight are under way at once.
pub const REFUSED_PLANS: usize = 256;
/// Findings reported for one document; a thousand lines help nobody.
pub const FINDINGS: usize = 100;
/// Bytes of a submission's version name.
pub const VERSION_BYTES: usize = 128;
/// A rehearsal runs recent requests through two plans for no longer than this.
pub const REHEARSAL_MS: u64 = 1_000;
/// Recent requests that wait at a node to be told of; beyond it they are only counted.
pub const SAMPLES_PENDING: usize = 32;
/// Of them told with one question for freshness: twelve nodes tell of 320 a second.
pub const SAMPLES_PER_REPORT: usize = 4;
/// Recent requests the controller keeps, and for how long.
pub const SAMPLES: usize = 2_000;
/// They are forgotten after this.
pub const SAMPLES_RETENTION_MS: u64 = 60_000;
/// A longer path, or header that a rule names, is not sampled.
pub const SAMPLE_BYTES: usize = 256;
/// Default deadline of a route whose plan names none.
pub const ROUTE_DEADLINE_MS: u64 = 5_000;
/// Longest deadline a plan may name.
pub const ROUTE_DEADLINE_MAX_MS: u64 = 60_000;
/// Default body bound of a route.
pub const ROUTE_BODY_BYTES: u64 = 1024 * 1024;
/// Largest body bound a plan may name: the body is held whole in memory.
pub const ROUTE_BODY_MAX_BYTES: u64 = 32 * 1024 * 1024;
/// Text of a route's rule; with its depth it bounds the cost of one evaluation.
pub const RULE_BYTES: usize = 512;
/// Depth of a rule's expression.
pub const RULE_DEPTH: usize = 24;
/// Brackets within brackets, and signs that nest as they do; the CEL reader recurses on each.
pub const RULE_BRACKETS: usize = 8;
/// Stack for reading one rule: the worst text within these bounds needs less than half.
pub const RULE_STACK_BYTES: usize = 8 * 1024 * 1024;
/// Bytes of a plan's text in one record; four of them fill a batch.
pub const TEXT_CHUNK_BYTES: usize = 16 * 1024;
/// Objects and arrays within each other in a document; the reader recurses on each.
pub const DEPTH: usize = 32;
/// A host's name, by the rules of names.
pub const HOST_BYTES: usize = 253;
/// Attempts a route may name for one request; each further one comes out of the budget anyway.
pub const MAX_ATTEMPTS_LIMIT: u64 = 16;
/// Ranks of precedence; 0 goes first.
pub const PRIORITY_MAX: u64 = 255;
/// Weight of one share; sums stay far below a word's end.
pub const WEIGHT_MAX: u64 = 1_000_000;
/// Largest head that a plan may allow; each connection may hold one.
pub const HEAD_MAX_BYTES: u64 = 256 * 1024;
/// Longest idle time of a client's connection that a plan may allow.
pub const IDLE_MAX_MS: u64 = 3_600_000;
/// Routes in one record of a plan's delta; a route within its bounds has under two kilobytes, so
/// that two such records fill a batch.
pub const ROUTES_PER_PATCH: usize = 16;
/// Splices in one record of a plan's delta, for their own bytes.
pub const SPLICES_PER_PATCH: usize = 512;
