//! Limits: whether a route's concurrency and rate admit a request at this node.
//!
//! A plan's limits are for the whole fleet; each of `n` nodes enforces its part without consulting
//! the others, which would cost more than the request:
//!
//! - concurrency: at most `ceil(limit / n)` requests in flight here, so that each node admits one;
//! - rate: a token bucket that fills with `rate / n` a second and holds one second's tokens, at
//!   least one. It starts with one second's tokens, and a refill counts one second at most, however
//!   long ago the last was. A request over the rate gives its concurrency back.

use postbarrow_state::Route;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};

/// Tokens are counted in thousandths, so that a slow rate's refills are not rounded away.
const TOKEN: i64 = 1_000;
/// The bucket holds what the rate gives in this time.
const BUCKET_MS: u64 = 1_000;

/// Which limit of its route a request is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// The route's requests a second.
    Rate,
    /// The route's requests in flight.
    Concurrency,
}

/// This node's part of a route's rate and concurrency.
#[derive(Debug)]
pub struct RouteLimits {
    concurrency: Option<u64>,
    in_flight: AtomicU64,
    rate: Option<TokenBucket>,
}

impl RouteLimits {
    /// The limits of a route, with nothing in flight and a full bucket.
    pub fn new(route: &Route) -> Self {
        RouteLimits {
            concurrency: route.concurrency,
            in_flight: AtomicU64::new(0),
            rate: route.rate_per_s.map(TokenBucket::new),
        }
    }

    /// Admits a request among so many nodes; `leave` gives its place back.
    ///
    /// # Errors
    /// The limit that the request is over; nothing is counted then.
    pub fn enter(&self, now_ms: u64, nodes: u64) -> Result<(), LimitExceeded> {
        let nodes = nodes.max(1);
        if let Some(limit) = self.concurrency {
            let own_limit = limit.div_ceil(nodes);
            let admitted = self
                .in_flight
                .fetch_update(Relaxed, Relaxed, |count| (count < own_limit).then_some(count + 1));
            admitted.map_err(|_| LimitExceeded::Concurrency)?;
        } else {
            self.in_flight.fetch_add(1, Relaxed);
        }
        if let Some(bucket) = &self.rate
            && !bucket.take(now_ms, nodes)
        {
            self.leave();
            return Err(LimitExceeded::Rate);
        }
        Ok(())
    }

    /// Requests of the route in flight at this node.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }

    /// Gives back what `enter` admitted.
    pub fn leave(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }
}

/// A rate of the whole fleet, of which this node takes its part.
#[derive(Debug)]
struct TokenBucket {
    rate_per_s: u64,
    milli_tokens: AtomicI64,
    /// When it was last filled; 0 before the first request.
    refilled_ms: AtomicU64,
}

impl TokenBucket {
    fn new(rate_per_s: u64) -> Self {
        TokenBucket { rate_per_s, milli_tokens: AtomicI64::new(0), refilled_ms: AtomicU64::new(0) }
    }

    /// Fills the bucket for the time since the last request, then takes a token if it has one.
    fn take(&self, now_ms: u64, nodes: u64) -> bool {
        let rate = self.rate_per_s;
        let capacity = (rate * BUCKET_MS / nodes).max(TOKEN as u64) as i64;
        let since_ms = self.refilled_ms.load(Relaxed);
        let elapsed_ms = if since_ms == 0 { BUCKET_MS } else { now_ms.saturating_sub(since_ms) };
        let added = (rate * elapsed_ms.min(BUCKET_MS) / nodes) as i64;
        // Of several threads only the one that sets the time adds the tokens.
        let is_due = added > 0;
        if is_due && self.refilled_ms.compare_exchange(since_ms, now_ms, Relaxed, Relaxed).is_ok() {
            let _ = self
                .milli_tokens
                .fetch_update(Relaxed, Relaxed, |saved| Some((saved + added).min(capacity)));
        }
        self.milli_tokens
            .fetch_update(Relaxed, Relaxed, |saved| (saved >= TOKEN).then(|| saved - TOKEN))
            .is_ok()
    }
}
