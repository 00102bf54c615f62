//! A request without an answer, and which of its copies may take effect.

use postbarrow_messages::{Request, Response};

/// A request that has not ended, of which several copies may have been sent.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub request: Request,
    /// When the next copy is due.
    next_send_ms: u64,
    deadline_ms: u64,
    /// Number of copies sent since the count was last reset: when another controller became known
    /// through `on_members`, at a `Duplicate` response, or when the controller was suspected.
    pub unanswered_copies: u32,
    /// Number of copies sent whose effect no response has decided.
    unresolved_copies: u32,
    /// Refusal that is reported once no other copy can take effect; `None` before the first one.
    refusal: Option<Response>,
    /// Whether a controller started to process the request and then lost its leadership: the
    /// request may still be committed, even if other copies are refused.
    may_be_committed: bool,
}

impl PendingRequest {
    /// Creates a request of which no copy was sent yet; the first one is due now.
    pub fn new(now_ms: u64, request: Request, timeout_ms: u64) -> PendingRequest {
        PendingRequest {
            request,
            next_send_ms: now_ms,
            deadline_ms: now_ms.saturating_add(timeout_ms),
            unanswered_copies: 0,
            unresolved_copies: 0,
            refusal: None,
            may_be_committed: false,
        }
    }

    /// Schedules the next copy for this time.
    pub fn schedule_send_at(&mut self, send_ms: u64) {
        self.next_send_ms = send_ms;
    }

    /// Schedules the next copy for this time, unless it is due earlier.
    pub fn schedule_send_by(&mut self, send_ms: u64) {
        self.next_send_ms = self.next_send_ms.min(send_ms);
    }

    /// Returns whether another copy is due now; after a refusal no more copies are sent.
    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_send_ms && self.refusal.is_none()
    }

    /// Counts a copy that is sent.
    pub fn on_send(&mut self) {
        self.unresolved_copies += 1;
        self.unanswered_copies += 1;
    }

    /// Counts a copy whose response states its effect, or that it has none.
    pub fn on_copy_answered(&mut self) {
        self.unresolved_copies = self.unresolved_copies.saturating_sub(1);
    }

    /// Notes that a controller started to process a copy and then lost its leadership.
    pub fn on_lost(&mut self) {
        self.may_be_committed = true;
    }

    /// Stores a refusal until no other copy can take effect.
    pub fn on_refusal(&mut self, refusal: Response) {
        self.refusal = Some(refusal);
    }

    /// Returns the refusal once no copy can take effect; `None` before, and without a refusal.
    pub fn final_refusal(&self) -> Option<Response> {
        self.refusal.clone().filter(|_| self.is_without_effect())
    }

    /// Returns whether no copy of the request has taken effect and none can any more.
    fn is_without_effect(&self) -> bool {
        self.unresolved_copies == 0 && !self.may_be_committed
    }

    /// Returns the answer that ends the request, if its deadline has passed, or if it is without
    /// effect and the process is cut off; `None` while the request remains pending.
    pub fn ending_response(&self, now_ms: u64, is_cut_off: bool) -> Option<Response> {
        match (now_ms >= self.deadline_ms, self.is_without_effect()) {
            (true, true) => Some(Response::Unavailable),
            (true, false) => Some(Response::TimedOut),
            (false, is_without_effect) => {
                (is_without_effect && is_cut_off).then_some(Response::Unavailable)
            }
        }
    }
}
