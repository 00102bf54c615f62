//! One request that has no answer yet, and what is known of its copies.

use postbarrow_messages::{Request, Response};

/// A request that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub request: Request,
    /// When the next copy is due.
    next_send_ms: u64,
    deadline_ms: u64,
    /// Sends to the present controller that got no response.
    pub unanswered_copies: u32,
    /// Copies sent that no response has shown to be without effect.
    effective_copies: u32,
    /// A refusal that is reported once no other copy can still take effect.
    refusal: Option<Response>,
    /// A controller began it and lost its leadership: it may still be committed, whatever others
    /// say.
    is_lost: bool,
}

impl PendingRequest {
    /// A request that was not sent yet.
    pub fn new(now_ms: u64, request: Request, timeout_ms: u64) -> PendingRequest {
        PendingRequest {
            request,
            next_send_ms: now_ms,
            deadline_ms: now_ms.saturating_add(timeout_ms),
            unanswered_copies: 0,
            effective_copies: 0,
            refusal: None,
            is_lost: false,
        }
    }

    /// The next copy is due at this time.
    pub fn send_at(&mut self, send_ms: u64) {
        self.next_send_ms = send_ms;
    }

    /// The next copy is due at this time or earlier.
    pub fn send_by(&mut self, send_ms: u64) {
        self.next_send_ms = self.next_send_ms.min(send_ms);
    }

    /// Whether another copy may be sent now: none is after a refusal.
    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_send_ms && self.refusal.is_none()
    }

    /// One copy is sent.
    pub fn on_send(&mut self) {
        self.effective_copies += 1;
        self.unanswered_copies += 1;
    }

    /// One copy is known to be without effect, or a response states its effect.
    pub fn on_copy_answered(&mut self) {
        self.effective_copies = self.effective_copies.saturating_sub(1);
    }

    /// One copy was begun by a controller that lost its leadership.
    pub fn on_lost(&mut self) {
        self.is_lost = true;
    }

    /// Retains a refusal until no other copy can take effect.
    pub fn on_refusal(&mut self, refusal: Response) {
        self.refusal = Some(refusal);
    }

    /// The refusal, once no copy can still take effect.
    pub fn final_refusal(&self) -> Option<Response> {
        self.refusal.clone().filter(|_| self.is_without_effect())
    }

    /// No copy of it can have taken effect, nor ever will.
    fn is_without_effect(&self) -> bool {
        self.effective_copies == 0 && !self.is_lost
    }

    /// How a request ends whose time is over, or that can't be sent; none while it is pending.
    pub fn end(&self, now_ms: u64, is_cut_off: bool) -> Option<Response> {
        match (now_ms >= self.deadline_ms, self.is_without_effect()) {
            (true, true) => Some(Response::Unavailable),
            (true, false) => Some(Response::TimedOut),
            (false, is_without_effect) => {
                (is_without_effect && is_cut_off).then_some(Response::Unavailable)
            }
        }
    }
}
