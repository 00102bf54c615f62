//! Limits: whether a route's concurrency and rate limits admit a request at this node.
//!
//! A plan's limits apply to the whole fleet. Each of `n` nodes enforces its part without consulting
//! the others, which would cost more than the request itself:
//!
//! - concurrency: at most `ceil(limit / n)` requests in flight at this node; rounded up, so that
//!   each node admits at least one;
//! - rate: a token bucket that is refilled with `rate / n` tokens per second. Its capacity is one
//!   second's tokens, but at least one token. It starts with one second's tokens, and a refill adds
//!   at most one second's tokens, however long ago the last refill was. A request that exceeds the
//!   rate does not count as in flight.

use postbarrow_state::Route;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};

/// One token in thousandths; tokens are counted in thousandths so that the small refills of a low
/// rate are not lost by rounding.
const TOKEN: i64 = 1_000;
/// Time in which the rate fills the bucket, and longest time for which one refill adds tokens.
const BUCKET_MS: u64 = 1_000;

/// The limit of its route that a request exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// The limit of requests per second.
    Rate,
    /// The limit of requests in flight.
    Concurrency,
}

/// This node's part of a route's rate and concurrency limits, with the current counts.
#[derive(Debug)]
pub struct RouteLimits {
    concurrency: Option<u64>,
    in_flight: AtomicU64,
    rate: Option<TokenBucket>,
}

impl RouteLimits {
    /// Creates the limits of a route, without requests in flight; the first request finds one
    /// second's tokens in the bucket.
    pub fn new(route: &Route) -> Self {
        RouteLimits {
            concurrency: route.concurrency,
            in_flight: AtomicU64::new(0),
            rate: route.rate_per_s.map(TokenBucket::new),
        }
    }

    /// Admits a request if this node's part of the limits, which are divided among `nodes` nodes,
    /// allows it. The caller must release each admitted request when it ends.
    ///
    /// # Errors
    /// Returns the limit that the request exceeds; the request is not counted then.
    pub fn try_acquire(&self, now_ms: u64, nodes: u64) -> Result<(), LimitExceeded> {
        let nodes = nodes.max(1);
        if let Some(limit) = self.concurrency {
            let node_limit = limit.div_ceil(nodes);
            let admitted = self
                .in_flight
                .fetch_update(Relaxed, Relaxed, |count| (count < node_limit).then_some(count + 1));
            admitted.map_err(|_| LimitExceeded::Concurrency)?;
        } else {
            self.in_flight.fetch_add(1, Relaxed);
        }
        if let Some(bucket) = &self.rate
            && !bucket.take(now_ms, nodes)
        {
            self.release();
            return Err(LimitExceeded::Rate);
        }
        Ok(())
    }

    /// Returns the number of the route's requests in flight at this node.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }

    /// Releases an admitted request that has ended, so that it no longer counts as in flight.
    pub fn release(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }
}

/// Token bucket for this node's part of a rate; `rate_per_s` is the rate of the whole fleet.
#[derive(Debug)]
struct TokenBucket {
    rate_per_s: u64,
    milli_tokens: AtomicI64,
    /// Time of the last refill; 0 before the first request.
    refilled_ms: AtomicU64,
}

impl TokenBucket {
    fn new(rate_per_s: u64) -> Self {
        TokenBucket { rate_per_s, milli_tokens: AtomicI64::new(0), refilled_ms: AtomicU64::new(0) }
    }

    /// Refills the bucket for the time since the last refill, then takes a token; returns whether
    /// one was available.
    fn take(&self, now_ms: u64, nodes: u64) -> bool {
        let rate = self.rate_per_s;
        let capacity = (rate * BUCKET_MS / nodes).max(TOKEN as u64) as i64;
        let since_ms = self.refilled_ms.load(Relaxed);
        let elapsed_ms = if since_ms == 0 { BUCKET_MS } else { now_ms.saturating_sub(since_ms) };
        let added = (rate * elapsed_ms.min(BUCKET_MS) / nodes) as i64;
        // If several threads refill at once, only the one that sets the time adds the tokens.
        let is_due = added > 0;
        if is_due && self.refilled_ms.compare_exchange(since_ms, now_ms, Relaxed, Relaxed).is_ok() {
            let _ = self
                .milli_tokens
                .fetch_update(Relaxed, Relaxed, |tokens| Some((tokens + added).min(capacity)));
        }
        self.milli_tokens
            .fetch_update(Relaxed, Relaxed, |tokens| (tokens >= TOKEN).then(|| tokens - TOKEN))
            .is_ok()
    }
}
