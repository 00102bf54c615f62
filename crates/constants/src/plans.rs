//! Bounds of plans, transactions and rehearsals.

use crate::traffic::FRAME_BYTES;

/// Largest name in a Begin record, and largest reason in an Abort record (KIP-868).
pub const MARKER_TEXT_BYTES: usize = 255;
/// Longest time that a transaction may be in progress before it is aborted.
pub const TRANSACTION_OPEN_MS: u64 = 500;
/// How long a page that shows a draining target waits for a transaction in progress, which is then
/// aborted.
pub const DRAIN_TRANSACTION_WAIT_MS: u64 = 200;
/// Largest pending delta; a transaction with a larger one is aborted.
pub const DELTA_BYTES: usize = 8 * 1024 * 1024;
/// Largest size of the records in one batch; small enough that tickets behind a batch wait for one
/// short sync.
pub const BATCH_BYTES: usize = 64 * 1024;
/// Largest number of a transaction's batches in flight at once; pipelining hides the sync.
pub const BATCHES_IN_FLIGHT: usize = 8;
/// Largest part that a plan has in the image for data nodes. A frame carries the complete image, of
/// which the remainder is for targets and nodes.
pub const PLAN_IMAGE_BYTES: usize = FRAME_BYTES - IMAGE_REMAINDER_BYTES;
/// Part of an image that is for targets and nodes: 16 thousand of them at 250 bytes each.
const IMAGE_REMAINDER_BYTES: usize = 4 * 1024 * 1024;
/// Largest encoded submission: a frame carries it with the address of its sender.
pub const SUBMISSION_BYTES: usize = FRAME_BYTES - 4 * 1024;
/// Largest plan text as received. Above `DELTA_BYTES`, so that a large plan is refused by the bound
/// on its delta.
pub const PLAN_TEXT_BYTES: usize = 16 * 1024 * 1024;
/// Largest number of accepted plans that are remembered, so that a repeated submission is
/// acknowledged again: a day of 1,800 changes and some more. A repeat of an older plan gets no
/// definite answer.
pub const ACCEPTED_PLANS_MAX: usize = 2_048;
/// Largest number of refused plans that are remembered because their base was never accepted. A
/// copy of a submission in flight is at most as old as an operator waits for its outcome, and eight
/// submissions are in flight at once.
pub const REFUSED_PLANS_MAX: usize = 256;
/// Largest number of findings reported for one document; a thousand lines would not help a reader.
pub const FINDINGS_MAX: usize = 100;
/// Largest name of a plan's version.
pub const VERSION_BYTES: usize = 128;
/// Longest time in which a rehearsal runs recent requests through two plans.
pub const REHEARSAL_MS: u64 = 1_000;
/// Largest number of request samples that wait at a node for their report; beyond it requests are
/// only counted.
pub const SAMPLES_PENDING: usize = 32;
/// Largest number of samples in one lease request: twelve nodes report 320 a second.
pub const SAMPLES_PER_REPORT: usize = 4;
/// Largest number of request samples that the controller retains.
pub const SAMPLES_MAX: usize = 2_000;
/// Time after which request samples expire.
pub const SAMPLES_RETENTION_MS: u64 = 60_000;
/// Largest path of a sampled request, and largest value of a sampled header that a rule names; a
/// longer one is not sampled.
pub const SAMPLE_BYTES: usize = 256;
/// Deadline of the requests of a route whose plan names none.
pub const ROUTE_DEADLINE_DEFAULT_MS: u64 = 5_000;
/// Longest deadline that a plan may name.
pub const ROUTE_DEADLINE_MAX_MS: u64 = 60_000;
/// Body bound of a route whose plan names none.
pub const ROUTE_BODY_DEFAULT_BYTES: u64 = 1024 * 1024;
/// Largest body bound that a plan may name: a complete body is in memory.
pub const ROUTE_BODY_MAX_BYTES: u64 = 32 * 1024 * 1024;
/// Largest text of a route's rule; together with `RULE_DEPTH` it bounds the cost of one evaluation.
pub const RULE_BYTES: usize = 512;
/// Largest depth of a rule's expression.
pub const RULE_DEPTH: usize = 24;
/// Largest depth of nested brackets in a rule; twice as many of the operators `?`, `!` and `-`,
/// which nest like brackets, are allowed. The CEL parser recurses on each.
pub const RULE_BRACKETS: usize = 8;
/// Stack of the thread that parses one rule: the worst text within these bounds needs less than
/// half.
pub const RULE_STACK_BYTES: usize = 8 * 1024 * 1024;
/// Largest part of a plan's text in one record; four of them fill a batch.
pub const TEXT_CHUNK_BYTES: usize = 16 * 1024;
/// Largest depth of nested objects and arrays in a document; the parser recurses on each.
pub const DOCUMENT_DEPTH_MAX: usize = 32;
/// Largest host name (RFC 1035, 2.3.4).
pub const HOST_BYTES: usize = 253;
/// Largest number of attempts that a route may name for one request; each further attempt is
/// charged to the retry budget anyway.
pub const MAX_ATTEMPTS_LIMIT: u64 = 16;
/// Largest number that a plan may set as a route's priority; 0 is the highest priority.
pub const PRIORITY_MAX: u64 = 255;
/// Largest weight of a weighted service; sums stay far below 2^64.
pub const WEIGHT_MAX: u64 = 1_000_000;
/// Largest bound on a request's head that a plan may name; each connection may buffer one head.
pub const HEAD_MAX_BYTES: u64 = 256 * 1024;
/// Longest idle time of a client's connection that a plan may allow.
pub const IDLE_MAX_MS: u64 = 3_600_000;
/// Largest number of routes in one record of a plan's delta. A route within its bounds has under
/// two kilobytes, so that two such records fill a batch.
pub const ROUTES_PER_PATCH: usize = 16;
/// Largest number of splices in one record of a plan's delta, which bounds the bytes that splices
/// take beside the items that they insert.
pub const SPLICES_PER_PATCH: usize = 512;
