//! Bounds of plans, transactions and rehearsals.

/// Largest name of a Begin record and reason of an Abort record, from KIP-868.
pub const MARKER_TEXT_BYTES: usize = 255;
/// A transaction in progress for longer is aborted (ours, start value).
pub const TRANSACTION_OPEN_MS: u64 = 500;
/// A page that shows a draining target waits this long for a transaction in progress, which is then
/// aborted.
pub const DRAIN_TRANSACTION_WAIT_MS: u64 = 200;
/// A larger pending delta is aborted (ours, start value).
pub const DELTA_BYTES: usize = 8 * 1024 * 1024;
/// Record bytes in one batch; small enough that tickets behind a batch wait for one short sync.
pub const BATCH_BYTES: usize = 64 * 1024;
/// Batches of a transaction in flight at once; pipelining hides the sync.
pub const BATCHES_IN_FLIGHT: usize = 8;
/// Largest plan text as received; above the delta bound, so that it is the delta bound that refuses
/// a large plan.
pub const PLAN_TEXT_BYTES: usize = 16 * 1024 * 1024;
/// Accepted plans that are remembered, so that a repeated submission is acknowledged again: a day
/// of 1,800 changes and some more. An older one gets no definite answer.
pub const ACCEPTED_PLANS: usize = 2_048;
/// Refused plans that are remembered because their base was never accepted. A copy in flight is at
/// most one operator's wait old, and eight are in flight at once.
pub const REFUSED_PLANS: usize = 256;
/// Findings reported for one document; a thousand lines help nobody.
pub const FINDINGS: usize = 100;
/// Largest name of a plan's version.
pub const VERSION_BYTES: usize = 128;
/// Longest time in which a rehearsal runs recent requests through two plans.
pub const REHEARSAL_MS: u64 = 1_000;
/// Request samples that wait at a node for their report; beyond it requests are only counted.
pub const SAMPLES_PENDING: usize = 32;
/// Samples in one lease request: twelve nodes report 320 a second.
pub const SAMPLES_PER_REPORT: usize = 4;
/// Request samples that the controller retains.
pub const SAMPLES: usize = 2_000;
/// Request samples expire after this.
pub const SAMPLES_RETENTION_MS: u64 = 60_000;
/// A longer path, or header that a rule names, is not sampled.
pub const SAMPLE_BYTES: usize = 256;
/// Default deadline of a route whose plan names none.
pub const ROUTE_DEADLINE_MS: u64 = 5_000;
/// Longest deadline a plan may name.
pub const ROUTE_DEADLINE_MAX_MS: u64 = 60_000;
/// Default body bound of a route.
pub const ROUTE_BODY_BYTES: u64 = 1024 * 1024;
/// Largest body bound a plan may name: a complete body is in memory.
pub const ROUTE_BODY_MAX_BYTES: u64 = 32 * 1024 * 1024;
/// Text of a route's rule; with its depth it bounds the cost of one evaluation.
pub const RULE_BYTES: usize = 512;
/// Depth of a rule's expression.
pub const RULE_DEPTH: usize = 24;
/// Nested brackets, and operators that nest as they do; the CEL parser recurses on each.
pub const RULE_BRACKETS: usize = 8;
/// Stack for reading one rule: the worst text within these bounds needs less than half.
pub const RULE_STACK_BYTES: usize = 8 * 1024 * 1024;
/// Bytes of a plan's text in one record; four of them fill a batch.
pub const TEXT_CHUNK_BYTES: usize = 16 * 1024;
/// Nested objects and arrays of a document; the parser recurses on each.
pub const DEPTH: usize = 32;
/// Largest host name (RFC 1035, 2.3.4).
pub const HOST_BYTES: usize = 253;
/// Attempts that a route may name for one request; each further one is charged to the retry budget
/// anyway.
pub const MAX_ATTEMPTS_LIMIT: u64 = 16;
/// Lowest priority; 0 is served first.
pub const PRIORITY_MAX: u64 = 255;
/// Largest weight of a weighted service; sums stay far below 2^64.
pub const WEIGHT_MAX: u64 = 1_000_000;
/// Largest head bound a plan may name; each connection may buffer one.
pub const HEAD_MAX_BYTES: u64 = 256 * 1024;
/// Longest idle time of a client's connection that a plan may allow.
pub const IDLE_MAX_MS: u64 = 3_600_000;
/// Routes in one record of a plan's delta; a route within its bounds has under two kilobytes, so
/// that two such records fill a batch.
pub const ROUTES_PER_PATCH: usize = 16;
/// Splices in one record of a plan's delta, for their own bytes.
pub const SPLICES_PER_PATCH: usize = 512;
