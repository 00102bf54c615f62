//! One question that has no answer yet, and what is known of its copies.

use postbarrow_messages::{Request, Response};
use postbarrow_state::{Call, Outcome};

/// Statuses from here on tell an operator that a plan was not taken.
const FIRST_REFUSING_STATUS: u16 = 400;

/// A question that waits for its end.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub request: Request,
    pub again_ms: u64,
    pub until_ms: u64,
    /// Sends to the present controller that got no response.
    pub unanswered_copies: u32,
    /// Copies sent that no response has shown to be without effect.
    copies: u32,
    /// A refusal that is told once no other copy can still take effect.
    refused: Option<Response>,
    /// A controller began it and lost its place: it may yet be committed, whatever others say.
    lost: bool,
}

impl PendingRequest {
    /// A question that was not sent yet.
    pub fn new(now_ms: u64, request: Request, wait_ms: u64) -> PendingRequest {
        let until_ms = now_ms.saturating_add(wait_ms);
        PendingRequest {
            request,
            again_ms: now_ms,
            until_ms,
            unanswered_copies: 0,
            copies: 0,
            refused: None,
            lost: false,
        }
    }

    /// Whether another copy may go out now: none does after a refusal.
    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.again_ms && self.refused.is_none()
    }

    /// One copy goes out.
    pub fn on_send(&mut self) {
        self.copies += 1;
        self.unanswered_copies += 1;
    }

    /// One copy is known to be without effect, or its effect is told by this response.
    pub fn on_copy_answered(&mut self) {
        self.copies = self.copies.saturating_sub(1);
    }

    /// One copy was begun by a controller that lost its place.
    pub fn on_lost(&mut self) {
        self.lost = true;
    }

    /// Keeps a refusal until no copy is left.
    pub fn on_refusal(&mut self, refusal: Response) {
        self.refused = Some(refusal);
    }

    /// The refusal, once no copy can still take effect.
    pub fn settled_refusal(&self) -> Option<Response> {
        self.refused.clone().filter(|_| self.is_untaken())
    }

    /// No copy of it can have taken effect, nor ever will.
    fn is_untaken(&self) -> bool {
        self.copies == 0 && !self.lost
    }

    /// The end of a question whose time is up, or that can't be handed on; none while its end is
    /// open and it has time left.
    pub fn end(&self, now_ms: u64, cut_off: bool) -> Option<Response> {
        match (now_ms >= self.until_ms, self.is_untaken()) {
            (true, true) => Some(Response::Unavailable),
            (true, false) => Some(Response::TimedOut),
            (false, untaken) => (untaken && cut_off).then_some(Response::Unavailable),
        }
    }
}

/// Whether a response says that nothing was done, for a reason that may be gone when another copy
/// of the same question arrives.
pub(crate) fn is_refusal(request: &Request, response: &Response) -> bool {
    match (request, response) {
        (Request::Submit(submission), Response::Operator { status, .. }) => {
            !submission.dry_run && *status >= FIRST_REFUSING_STATUS
        }
        (Request::Call { .. }, Response::Full) => true,
        (Request::Call { call, .. }, Response::Outcome(outcome)) => is_refused_call(call, outcome),
        _ => false,
    }
}

fn is_refused_call(call: &Call, outcome: &Outcome) -> bool {
    match call {
        Call::Lock { .. } | Call::Renew { .. } => {
            matches!(outcome, Outcome::LockedByOther { .. } | Outcome::NotOwner)
        }
        Call::Next { .. } | Call::Put { .. } | Call::Remove { .. } => {
            matches!(outcome, Outcome::Conflict { .. } | Outcome::NoKey)
        }
        Call::Free { .. }
        | Call::ReadLock { .. }
        | Call::ReadNumber { .. }
        | Call::ReadKey { .. }
        | Call::Watch { .. } => false,
    }
}
