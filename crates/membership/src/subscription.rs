//! How far a child is, and when it is sent something again.

use postbarrow_constants::nodes::{SUBSCRIPTION_TIMEOUT_MS, TAIL_RESEND_MAX_MS, TAIL_RESEND_MS};

/// One child's subscription to a relay's updates.
pub(crate) struct Subscription {
    /// The offset up to which the child was sent everything.
    sent: u64,
    /// The offset that the child itself reported.
    acknowledged: u64,
    renewed_ms: u64,
    /// Since when something is in flight and the child has reported no progress.
    unacknowledged_since_ms: Option<u64>,
    /// How long something in flight may take before it is sent again.
    resend_ms: u64,
}

impl Subscription {
    /// A child that has reached this offset.
    pub fn new(now_ms: u64, acknowledged: u64) -> Subscription {
        Subscription {
            sent: acknowledged,
            acknowledged,
            renewed_ms: now_ms,
            unacknowledged_since_ms: None,
            resend_ms: TAIL_RESEND_MS,
        }
    }

    /// The child reports the offset that it has reached. Updates in flight are not sent again
    /// before `resend_ms` is over: on a slow link each further copy would only queue behind the
    /// first. Without progress that time doubles.
    pub fn renew(&mut self, now_ms: u64, acknowledged: u64) {
        self.renewed_ms = now_ms;
        if acknowledged < self.acknowledged {
            *self = Subscription::new(now_ms, acknowledged);
            return;
        }
        let has_progressed = acknowledged > self.acknowledged;
        self.acknowledged = acknowledged;
        if acknowledged >= self.sent {
            self.sent = acknowledged;
            self.unacknowledged_since_ms = None;
            self.resend_ms = TAIL_RESEND_MS;
        } else if has_progressed {
            self.unacknowledged_since_ms = Some(now_ms);
            self.resend_ms = TAIL_RESEND_MS;
        } else if self
            .unacknowledged_since_ms
            .is_none_or(|since_ms| now_ms >= since_ms + self.resend_ms)
        {
            self.sent = acknowledged;
            self.unacknowledged_since_ms = None;
            self.resend_ms = (self.resend_ms * 2).min(TAIL_RESEND_MAX_MS);
        }
    }

    /// Everything up to this offset was sent.
    pub fn on_sent(&mut self, now_ms: u64, offset: u64) {
        self.sent = offset;
        self.unacknowledged_since_ms.get_or_insert(now_ms);
    }

    /// The offset up to which the child was sent everything.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Whether the child has not renewed it for `SUBSCRIPTION_TIMEOUT_MS`.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.renewed_ms + SUBSCRIPTION_TIMEOUT_MS
    }
}
