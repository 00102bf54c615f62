//! A child's position in the log, and the timeouts after which updates are sent to it again.

use postbarrow_constants::nodes::{SUBSCRIPTION_TIMEOUT_MS, TAIL_RESEND_MAX_MS, TAIL_RESEND_MS};

/// One child's subscription to a relay's updates.
pub(crate) struct Subscription {
    /// Log offset up to which everything was sent to the child.
    sent_offset: u64,
    /// Log offset that the child last reported.
    acknowledged_offset: u64,
    renewed_ms: u64,
    /// Time since which updates or an image are in flight without progress reported by the child;
    /// `None` if nothing is in flight.
    unacknowledged_since_ms: Option<u64>,
    /// How long updates or an image may be in flight before they are sent again.
    resend_ms: u64,
}

impl Subscription {
    /// Creates the subscription of a child that has reached this log offset.
    pub fn new(now_ms: u64, acknowledged_offset: u64) -> Subscription {
        Subscription {
            sent_offset: acknowledged_offset,
            acknowledged_offset,
            renewed_ms: now_ms,
            unacknowledged_since_ms: None,
            resend_ms: TAIL_RESEND_MS,
        }
    }

    /// Renews the subscription with the log offset that the child reports. Updates in flight are
    /// sent again only after `resend_ms`, since on a slow link another copy would only queue behind
    /// the first. That time doubles on each resend, up to `TAIL_RESEND_MAX_MS`, and is reset when
    /// the child reports progress. A child that reports a lower offset than before has restarted or
    /// needs an image, and is sent everything from there.
    pub fn renew(&mut self, now_ms: u64, reported_offset: u64) {
        self.renewed_ms = now_ms;
        if reported_offset < self.acknowledged_offset {
            *self = Subscription::new(now_ms, reported_offset);
            return;
        }
        let has_progressed = reported_offset > self.acknowledged_offset;
        self.acknowledged_offset = reported_offset;
        if reported_offset >= self.sent_offset {
            self.sent_offset = reported_offset;
            self.unacknowledged_since_ms = None;
            self.resend_ms = TAIL_RESEND_MS;
        } else if has_progressed {
            self.unacknowledged_since_ms = Some(now_ms);
            self.resend_ms = TAIL_RESEND_MS;
        } else if self
            .unacknowledged_since_ms
            .is_none_or(|since_ms| now_ms >= since_ms + self.resend_ms)
        {
            self.sent_offset = reported_offset;
            self.unacknowledged_since_ms = None;
            self.resend_ms = (self.resend_ms * 2).min(TAIL_RESEND_MAX_MS);
        }
    }

    /// Records that everything up to this log offset was sent to the child.
    pub fn on_sent(&mut self, now_ms: u64, offset: u64) {
        self.sent_offset = offset;
        self.unacknowledged_since_ms.get_or_insert(now_ms);
    }

    /// Returns the log offset up to which everything was sent to the child.
    pub fn sent_offset(&self) -> u64 {
        self.sent_offset
    }

    /// Returns whether the child has not renewed the subscription for `SUBSCRIPTION_TIMEOUT_MS`.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.renewed_ms + SUBSCRIPTION_TIMEOUT_MS
    }
}
